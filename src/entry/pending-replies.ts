import type {Clock} from '../core/clock.js';
import {createMailbox, type Mailbox} from '../core/mailbox.js';

/** Questions of one kind on one link that wait for their replies. */
export type PendingReplies<T> = Readonly<{
	/** Asks, and waits at most `millis` for the reply to `id`; undefined without one. `send` says whether it could send. */
	request: (id: string, send: () => boolean, millis: number) => Promise<T | undefined>;
	/** Gives the reply to all who asked about `id`. */
	resolve: (id: string, reply: T) => void;
	/** Ends all questions without a reply. */
	cancelAll: () => void;
}>;

type Reply<T> = Readonly<{value: T | undefined}>;

/** Creates a set without questions. */
export function createPendingReplies<T>(clock: Clock): PendingReplies<T> {
	const waiting = new Map<string, ReadonlySet<Mailbox<Reply<T>>>>();

	function remove(id: string, mailbox: Mailbox<Reply<T>>): void {
		const rest = new Set(waiting.get(id));
		rest.delete(mailbox);
		if (rest.size > 0) {
			waiting.set(id, rest);
		} else {
			waiting.delete(id);
		}
	}

	function push(mailboxes: Iterable<Mailbox<Reply<T>>>, value: T | undefined): void {
		for (const mailbox of mailboxes) {
			mailbox.push({value});
		}
	}

	return {
		async request(id, send, millis) {
			const mailbox = createMailbox<Reply<T>>();
			waiting.set(id, new Set([...waiting.get(id) ?? [], mailbox]));
			const reply = send() ? await mailbox.take(clock, millis) : undefined;
			remove(id, mailbox);
			return reply?.value;
		},
		resolve(id, reply) {
			push(waiting.get(id) ?? [], reply);
		},
		cancelAll() {
			for (const mailboxes of waiting.values()) {
				push(mailboxes, undefined);
			}
		},
	};
}
