import type {Clock} from '../core/clock.js';
import {createMailbox, type Mailbox} from '../core/mailbox.js';

/** Requests of one kind on one link that wait for their replies. */
export type PendingReplies<T> = Readonly<{
	/**
	 * Sends a request and waits at most `millis` for the reply to `id`; undefined when none comes in time.
	 *
	 * `send` returns false when it could not send.
	 */
	request: (id: string, send: () => boolean, millis: number) => Promise<T | undefined>;
	/** Delivers the reply to all requests that wait for `id`. */
	resolve: (id: string, reply: T) => void;
	/** Ends all pending requests without a reply. */
	cancelAll: () => void;
}>;

type Reply<T> = Readonly<{value: T | undefined}>;

/** Creates a set without pending requests. */
export function createPendingReplies<T>(clock: Clock): PendingReplies<T> {
	const pending = new Map<string, ReadonlySet<Mailbox<Reply<T>>>>();

	function remove(id: string, mailbox: Mailbox<Reply<T>>): void {
		const remaining = new Set(pending.get(id));
		remaining.delete(mailbox);
		if (remaining.size > 0) {
			pending.set(id, remaining);
		} else {
			pending.delete(id);
		}
	}

	function deliver(mailboxes: Iterable<Mailbox<Reply<T>>>, value: T | undefined): void {
		for (const mailbox of mailboxes) {
			mailbox.push({value});
		}
	}

	return {
		async request(id, send, millis) {
			const mailbox = createMailbox<Reply<T>>();
			pending.set(id, new Set([...pending.get(id) ?? [], mailbox]));
			const reply = send() ? await mailbox.take(clock, millis) : undefined;
			remove(id, mailbox);
			return reply?.value;
		},
		resolve(id, reply) {
			deliver(pending.get(id) ?? [], reply);
		},
		cancelAll() {
			for (const mailboxes of pending.values()) {
				deliver(mailboxes, undefined);
			}
		},
	};
}
