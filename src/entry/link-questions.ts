import type {Clock} from '../core/clock.js';
import {createMailbox, type Mailbox} from '../core/mailbox.js';

/** Requests of one kind on one link that wait for their replies. */
export type LinkQuestions<T> = Readonly<{
	/**
	 * Sends a request and waits at most `millis` for the reply to `id`; undefined when none comes in time.
	 *
	 * `send` returns false when it could not send.
	 */
	ask: (id: string, send: () => boolean, millis: number) => Promise<T | undefined>;
	/** Delivers the reply to all requests that wait for `id`. */
	settle: (id: string, reply: T) => void;
	/** Ends all pending requests without a reply. */
	abandon: () => void;
}>;

type Reply<T> = Readonly<{value: T | undefined}>;

/** Creates a set without pending requests. */
export function createLinkQuestions<T>(clock: Clock): LinkQuestions<T> {
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
		async ask(id, send, millis) {
			const mailbox = createMailbox<Reply<T>>();
			pending.set(id, new Set([...pending.get(id) ?? [], mailbox]));
			const reply = send() ? await mailbox.take(clock, millis) : undefined;
			remove(id, mailbox);
			return reply?.value;
		},
		settle(id, reply) {
			deliver(pending.get(id) ?? [], reply);
		},
		abandon() {
			for (const mailboxes of pending.values()) {
				deliver(mailboxes, undefined);
			}
		},
	};
}
