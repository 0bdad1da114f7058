import type {Incarnation} from '../../src/core/ids.js';
import {createSnapshotStore} from '../../src/core/snapshot-store.js';
import {fail, succeed, type Result} from '../../src/core/result.js';
import type {ExpertMap, Hold} from '../../src/ports/model-engine.js';

/** Why an order about the map was refused. */
export type MapRefusal = Readonly<{
	tag: 'refused';
	reason: 'released' | 'step_past' | 'other_hold' | 'map_pending' | 'taken' | 'no_hold' | 'held';
}>;

type PendingMap = Readonly<{epoch: number; map: ExpertMap; fromStep: number}>;

/** State of the engine's current map and of the switch to the next one. */
type MapState = Readonly<{
	/** Empty until the engine has joined its group. */
	groupIncarnation: Incarnation;
	epoch: number;
	map: ExpertMap;
	/** First step that has not started. */
	nextStep: number;
	hold: Hold | undefined;
	pendingMap: PendingMap | undefined;
	taken: ReadonlySet<number>;
	released: ReadonlySet<number>;
}>;

/** A step that the engine has started and may report to its group. */
export type StartedStep = Readonly<{groupIncarnation: Incarnation; step: number; epoch: number; map: ExpertMap}>;

/** Holds, releases and maps of one engine. Lives in the engine, so that a restart of the rank's agent does not lose it. */
export type MapAgreement = {
	readonly read: () => MapState;
	/** Refused for a released or taken epoch, for a step that has started, and while another hold or a pending map exists. */
	readonly hold: (hold: Hold) => Result<void, MapRefusal>;
	/** Forbids a hold of this epoch permanently. Refused while the epoch is held, and if its map was taken. */
	readonly forbid: (epoch: number) => Result<void, MapRefusal>;
	/** Ends the hold of this epoch and forbids another permanently. Refused if the map of this epoch was taken. */
	readonly release: (epoch: number) => Result<void, MapRefusal>;
	/** Refused without a hold of the same epoch and step. Idempotent. */
	readonly takeMap: (map: PendingMap) => Result<void, MapRefusal>;
	/** Waits while a hold blocks the next step, then starts it and returns its map and epoch. */
	readonly beginStep: () => Promise<StartedStep>;
	/** Resolves as soon as the group incarnation differs from this one. */
	readonly waitForOtherIncarnation: (groupIncarnation: Incarnation) => Promise<void>;
	/**
	 * Starts over at `step` with the initial map; the epoch of a hold or pending map becomes released.
	 *
	 * Does nothing if the engine is already in this incarnation.
	 */
	readonly restartGroup: (groupIncarnation: Incarnation, step: number) => void;
};

function refuse(reason: MapRefusal['reason']): {readonly ok: false; readonly error: MapRefusal} {
	return fail({tag: 'refused', reason});
}

function holdRefusalReason(state: MapState, hold: Hold): MapRefusal['reason'] | undefined {
	if (state.released.has(hold.epoch)) {
		return 'released';
	}

	if (state.taken.has(hold.epoch)) {
		return 'taken';
	}

	if (hold.fromStep < state.nextStep) {
		return 'step_past';
	}

	if (state.pendingMap) {
		return 'map_pending';
	}

	const isDifferentHold = state.hold && (state.hold.epoch !== hold.epoch || state.hold.fromStep !== hold.fromStep);
	return isDifferentHold ? 'other_hold' : undefined;
}

function releaseEpoch(state: MapState, epoch: number): MapState {
	return {
		...state,
		hold: state.hold?.epoch === epoch ? undefined : state.hold,
		released: new Set([...state.released, epoch]),
	};
}

function isNextStepHeld(state: MapState): boolean {
	return state.hold !== undefined && state.hold.fromStep <= state.nextStep;
}

function advanceStep(state: MapState): MapState {
	const {pendingMap, nextStep} = state;
	const current = pendingMap && pendingMap.fromStep <= nextStep
		? {
			...state, epoch: pendingMap.epoch, map: pendingMap.map, pendingMap: undefined,
		}
		: state;
	return {...current, nextStep: nextStep + 1};
}

function restartAt(state: MapState, initialMap: ExpertMap, groupIncarnation: Incarnation, step: number): MapState {
	const openEpochs = [state.hold?.epoch, state.pendingMap?.epoch].filter(epoch => epoch !== undefined);
	return {
		groupIncarnation,
		epoch: 0,
		map: initialMap,
		nextStep: step,
		hold: undefined,
		pendingMap: undefined,
		taken: state.taken,
		released: new Set([...state.released, ...openEpochs]),
	};
}

/** Creates the map state of an engine that runs `initialMap` as epoch 0. */
export function createMapAgreement(initialMap: ExpertMap): MapAgreement {
	const store = createSnapshotStore<MapState>({
		groupIncarnation: '',
		epoch: 0,
		map: initialMap,
		nextStep: 0,
		hold: undefined,
		pendingMap: undefined,
		taken: new Set(),
		released: new Set(),
	});

	async function waitForChange(): Promise<void> {
		await new Promise<void>(resolve => {
			const unsubscribe = store.registerListener(() => {
				unsubscribe();
				resolve();
			});
		});
	}

	return {
		read: store.read,
		hold(hold) {
			const reason = holdRefusalReason(store.read(), hold);
			if (reason) {
				return refuse(reason);
			}

			store.update(state => ({...state, hold}));
			return succeed(undefined);
		},
		forbid(epoch) {
			const {taken, hold} = store.read();
			if (taken.has(epoch)) {
				return refuse('taken');
			}

			if (hold?.epoch === epoch) {
				return refuse('held');
			}

			store.update(state => releaseEpoch(state, epoch));
			return succeed(undefined);
		},
		release(epoch) {
			if (store.read().taken.has(epoch)) {
				return refuse('taken');
			}

			store.update(state => releaseEpoch(state, epoch));
			return succeed(undefined);
		},
		takeMap(pendingMap) {
			const {taken, hold} = store.read();
			if (taken.has(pendingMap.epoch)) {
				return succeed(undefined);
			}

			if (hold?.epoch !== pendingMap.epoch || hold.fromStep !== pendingMap.fromStep) {
				return refuse('no_hold');
			}

			store.update(state => ({
				...state, hold: undefined, pendingMap, taken: new Set([...state.taken, pendingMap.epoch]),
			}));
			return succeed(undefined);
		},
		async beginStep() {
			while (isNextStepHeld(store.read())) {
				// eslint-disable-next-line no-await-in-loop
				await waitForChange();
			}

			const step = store.read().nextStep;
			const {groupIncarnation, epoch, map} = store.update(state => advanceStep(state));
			return {
				groupIncarnation, step, epoch, map,
			};
		},
		async waitForOtherIncarnation(groupIncarnation) {
			while (store.read().groupIncarnation === groupIncarnation) {
				// eslint-disable-next-line no-await-in-loop
				await waitForChange();
			}
		},
		restartGroup(groupIncarnation, step) {
			store.update(state => state.groupIncarnation === groupIncarnation
				? state
				: restartAt(state, initialMap, groupIncarnation, step));
		},
	};
}
