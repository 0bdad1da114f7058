import type {AttemptId} from '../core/ids.js';
import {createMailbox, type Mailbox} from '../core/mailbox.js';
import type {AttemptEvent} from '../ports/attempt-event.js';

/** Mailboxes of the attempts on one link. */
export type AttemptMailboxes = Readonly<{
	open: (attemptId: AttemptId) => Mailbox<AttemptEvent>;
	/** False when the attempt is not known here. */
	deliver: (attemptId: AttemptId, event: AttemptEvent) => boolean;
	remove: (attemptId: AttemptId) => void;
	/** Tells all attempts that the link has ended, and forgets them. */
	reportLinkLost: () => void;
	size: () => number;
}>;

/** Creates mailboxes for no attempts. */
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
