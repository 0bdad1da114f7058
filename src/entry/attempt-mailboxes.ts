import type {AttemptId} from '../core/ids.js';
import {createMailbox, type Mailbox} from '../core/mailbox.js';
import type {AttemptEvent} from '../ports/attempt-event.js';

/** Event mailboxes of the attempts on one link. */
export type AttemptMailboxes = Readonly<{
	open: (attemptId: AttemptId) => Mailbox<AttemptEvent>;
	/** False when the attempt has no mailbox. */
	deliver: (attemptId: AttemptId, event: AttemptEvent) => boolean;
	remove: (attemptId: AttemptId) => void;
	/** Delivers `link_lost` to all attempts and removes their mailboxes. */
	reportLinkLost: () => void;
	size: () => number;
}>;

/** Creates an empty set of mailboxes. */
export function createAttemptMailboxes(): AttemptMailboxes {
	const attempts = new Map<AttemptId, Mailbox<AttemptEvent>>();

	return {
		open(attemptId) {
			const mailbox = createMailbox<AttemptEvent>();
			attempts.set(attemptId, mailbox);
			return mailbox;
		},
		deliver(attemptId, event) {
			const mailbox = attempts.get(attemptId);
			mailbox?.push(event);
			return mailbox !== undefined;
		},
		remove(attemptId) {
			attempts.delete(attemptId);
		},
		reportLinkLost() {
			for (const mailbox of attempts.values()) {
				mailbox.push({tag: 'link_lost'});
			}

			attempts.clear();
		},
		size: () => attempts.size,
	};
}
