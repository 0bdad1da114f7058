/** Decides which calls a draining gateway still takes, so that each of them can end before the process does. */
import {
	GRACE_SHARE_CALLS, GRACE_SHARE_LISTENING, GRACE_SHARE_STREAMS, MAX_LONG_STREAMS_MILLIS,
} from './gateway-constants.js';

/** Steps of a drain, as monotonic times in milliseconds. */
export type DrainSchedule = Readonly<{
	/** Streams are taken up to here. */
	streamsUntilMillis: number;
	/** Streams are taken up to here even if their deadline is later than the cut-off, as nearly all are shorter. */
	longStreamsUntilMillis: number;
	/** New connections are accepted up to here. */
	listeningUntilMillis: number;
	/** Calls in flight are ended here. */
	cutOffAtMillis: number;
}>;

/** Computes the steps of a drain for which there are `graceMillis`. */
export function createDrainSchedule(startedAtMillis: number, graceMillis: number): DrainSchedule {
	return {
		streamsUntilMillis: startedAtMillis + (graceMillis * GRACE_SHARE_STREAMS),
		longStreamsUntilMillis: startedAtMillis + Math.min(graceMillis * GRACE_SHARE_STREAMS, MAX_LONG_STREAMS_MILLIS),
		listeningUntilMillis: startedAtMillis + (graceMillis * GRACE_SHARE_LISTENING),
		cutOffAtMillis: startedAtMillis + (graceMillis * GRACE_SHARE_CALLS),
	};
}

/** A call that arrives during a drain; `deadlineMillis` is the monotonic time by which it ends. */
export type DrainedCall = Readonly<{isStreaming: boolean; arrivedAtMillis: number; deadlineMillis: number}>;

/** Whether a call may be taken. One that may last longer than the process is refused, however short it probably is: another gateway takes it at once. */
export function mayTakeCall(schedule: DrainSchedule, {isStreaming, arrivedAtMillis, deadlineMillis}: DrainedCall): boolean {
	const endsInTime = deadlineMillis <= schedule.cutOffAtMillis;
	return isStreaming
		? arrivedAtMillis <= (endsInTime ? schedule.streamsUntilMillis : schedule.longStreamsUntilMillis)
		: endsInTime;
}
