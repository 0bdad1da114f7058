/** The part of an engine that the vote needs, on the agreement of the stand-in, with steps run by the test. */
import assert from 'node:assert/strict';
import {match} from 'ts-pattern';
import {createMapAgreement} from '../../../fakes/engine/map-agreement.js';
import {fail, succeed, type Result} from '../../core/result.js';
import type {
	EngineError, EngineOrder, EngineState, ModelEngine,
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

const IDLE = {
	running: 0, queued: 0, ageMillis: 0, stepMillis: 1, tokensPerSecond: 0, tokensPerExpert: [],
};

export function createFakeRankEngine(checksFencing: boolean): FakeRankEngine {
	const done: Array<Readonly<{order: EngineOrder; fencingToken: number}>> = [];
	const agreement = createMapAgreement(EMPTY_MAP);
	agreement.restartGroup('g1', 0);
	let highestToken = 0;

	function carryOut(order: EngineOrder): Result<void, EngineError> {
		return match(order)
			.with({tag: 'hold'}, ({epoch, fromStep}) => agreement.hold({epoch, fromStep}))
			.with({tag: 'forbid'}, ({epoch}) => agreement.forbid(epoch))
			.with({tag: 'release'}, ({epoch}) => agreement.release(epoch))
			.with({tag: 'take_map'}, ({epoch, map, fromStep}) => agreement.takeMap({epoch, map, fromStep}))
			.otherwise(() => succeed(undefined));
	}

	function isBlocked(): boolean {
		const {hold, nextStep} = agreement.read();
		return hold !== undefined && hold.fromStep <= nextStep;
	}

	return {
		done,
		isBlocked,
		order(order, fencingToken) {
			if (checksFencing && fencingToken < highestToken) {
				return fail({tag: 'refused', reason: 'old_fencing_token'});
			}

			highestToken = Math.max(highestToken, fencingToken);
			const result = carryOut(order);
			if (result.ok) {
				done.push({order, fencingToken});
			}

			return result;
		},
		runStep() {
			assert.ok(!isBlocked());
			// A step that nothing forbids begins at once.
			void agreement.beginStep();
			return agreement.read().epoch;
		},
		restartGroup(incarnation) {
			agreement.restartGroup(incarnation, 0);
		},
		readState() {
			const {groupIncarnation, nextStep, epoch, map, hold, released} = agreement.read();
			return {
				...IDLE, groupIncarnation, step: nextStep, mapEpoch: epoch, map, hold, releasedEpochs: [...released],
			};
		},
	};
}

/** How the calls of one agent reach the engine. */
export type DeliverCall = <T>(label: string, effect: () => T) => Promise<T | undefined>;

/** The engine as an agent sees it; a call that `carry` loses has no answer. */
export function createEnginePort(engine: FakeRankEngine, carry: DeliverCall): ModelEngine {
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
