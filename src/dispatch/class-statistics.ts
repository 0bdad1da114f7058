/** Counts of requests by class of work since this entry started, to be held against the targets. */
import type {Outcome} from '../core/outcome.js';

/** Counts of one class. */
export type ClassCounts = Readonly<{
	requests: number;
	refused: number;
	/** Requests whose first token or byte came. */
	answered: number;
	/** Those of `answered` that came later than the class allows. */
	late: number;
}>;

/** The counts of all classes. */
export type ClassStatistics = Readonly<{
	countOutcome: (workClass: string, outcome: Outcome['tag']) => void;
	/** Counts the first token or byte of an answer. */
	countFirstByte: (workClass: string, isLate: boolean) => void;
	read: (workClass: string) => ClassCounts;
}>;

const NO_REQUESTS: ClassCounts = {
	requests: 0, refused: 0, answered: 0, late: 0,
};

/** Creates counts of nothing. */
export function createClassStatistics(): ClassStatistics {
	const counts = new Map<string, ClassCounts>();
	const read = (workClass: string) => counts.get(workClass) ?? NO_REQUESTS;

	return {
		read,
		countOutcome(workClass, outcome) {
			const before = read(workClass);
			counts.set(workClass, {
				...before, requests: before.requests + 1, refused: before.refused + (outcome === 'not_run' ? 1 : 0),
			});
		},
		countFirstByte(workClass, isLate) {
			const before = read(workClass);
			counts.set(workClass, {...before, answered: before.answered + 1, late: before.late + (isLate ? 1 : 0)});
		},
	};
}
