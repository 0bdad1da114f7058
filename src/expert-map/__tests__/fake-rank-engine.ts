/** The part of an engine that the vote needs, with steps run by the test. */
import {match} from 'ts-pattern';
import {fail, succeed, type Result} from '../../core/result.js';
import type {
	EngineError, EngineOrder, EngineState, Hold, ModelEngine,
} from '../../ports/model-engine.js';

const EMPTY_MAP = {layers: []};

export type FakeRankEngine = Readonly<{
	readState: () => EngineState;
	/** Carries an order out at once. */
	order: (order: EngineOrder, fencingToken: number) => Result<void, EngineError>;
	/** Whether a hold forbids the next step. */
	isBlocked: () => boolean;
	/** Runs the next step and gives the epoch of its map. */
	runStep: () => number;
	restartGroup: (groupIncarnation: string) => void;
	/** Orders that were done, with their tokens. */
	done: ReadonlyArray<Readonly<{order: EngineOrder; fencingToken: number}>>;
}>;

function refuse(reason: string): Result<void, EngineError> {
	return fail({tag: 'refused', reason});
}

export function createFakeRankEngine(checksFencing: boolean): FakeRankEngine {
	const done: Array<Readonly<{order: EngineOrder; fencingToken: number}>> = [];
	const released = new Set<number>();
	const taken = new Set<number>();
	let groupIncarnation = 'g1';
	let step = 0;
	let mapEpoch = 0;
	let hold: Hold | undefined;
	let pending: Hold | undefined;
	let highestToken = 0;

	function placeHold(epoch: number, fromStep: number): Result<void, EngineError> {
		if (released.has(epoch) || taken.has(epoch)) {
			return refuse('released');
		}

		if (fromStep < step) {
			return refuse('step_past');
		}

		if (pending ?? (hold && hold.epoch !== epoch)) {
			return refuse('other_hold');
		}

		hold = {epoch, fromStep};
		return succeed(undefined);
	}

	function placeRelease(epoch: number): Result<void, EngineError> {
		if (taken.has(epoch)) {
			return refuse('taken');
		}

		released.add(epoch);
		hold = hold?.epoch === epoch ? undefined : hold;
		return succeed(undefined);
	}

	function takeMap(epoch: number): Result<void, EngineError> {
		if (taken.has(epoch)) {
			return succeed(undefined);
		}

		if (hold?.epoch !== epoch) {
			return refuse('no_hold');
		}

		taken.add(epoch);
		pending = hold;
		hold = undefined;
		return succeed(undefined);
	}

	function carryOut(order: EngineOrder): Result<void, EngineError> {
		return match(order)
			.with({tag: 'hold'}, ({epoch, fromStep}) => placeHold(epoch, fromStep))
			.with({tag: 'release'}, ({epoch}) => placeRelease(epoch))
			.with({tag: 'take_map'}, ({epoch}) => takeMap(epoch))
			.otherwise(() => succeed(undefined));
	}

	return {
		done,
		order(order, fencingToken) {
			if (checksFencing && fencingToken < highestToken) {
				return refuse('old_fencing_token');
			}

			highestToken = Math.max(highestToken, fencingToken);
			const result = carryOut(order);
			if (result.ok) {
				done.push({order, fencingToken});
			}

			return result;
		},
		isBlocked: () => hold !== undefined && hold.fromStep <= step,
		runStep() {
			if (pending && pending.fromStep <= step) {
				mapEpoch = pending.epoch;
				pending = undefined;
			}

			step += 1;
			return mapEpoch;
		},
		restartGroup(incarnation) {
			groupIncarnation = incarnation;
			for (const open of [hold, pending]) {
				if (open) {
					released.add(open.epoch);
				}
			}

			[hold, pending, step, mapEpoch] = [undefined, undefined, 0, 0];
		},
		readState: () => ({
			groupIncarnation,
			step,
			mapEpoch,
			map: EMPTY_MAP,
			hold,
			releasedEpochs: [...released],
			running: 0,
			queued: 0,
			ageMillis: 0,
			stepMillis: 1,
			tokensPerSecond: 0,
			tokensPerExpert: [],
		}),
	};
}

/** How the calls of one agent reach the engine. */
export type Carry = <T>(label: string, effect: () => T) => Promise<T | undefined>;

/** The engine as an agent sees it; a call that `carry` loses has no answer. */
export function createEnginePort(engine: FakeRankEngine, carry: Carry): ModelEngine {
	const lost = fail({tag: 'no_answer', detail: 'lost'} as const);
	const unused = async () => fail({tag: 'not_sent', detail: 'not used'} as const);
	return {
		readState: async () => await carry('read', () => succeed(engine.readState())) ?? lost,
		order: async (order, token) => await carry(order.tag, () => engine.order(order, token)) ?? lost,
		async * stream() {
			yield lost;
		},
		cancel: unused,
		readCacheEvents: unused,
		exportStream: unused,
		importStream: unused,
	};
}
