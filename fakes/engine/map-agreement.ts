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

/** What the engine knows about its map and about the next one. */
type MapState = Readonly<{
	/** Empty until the engine has joined its group. */
	groupIncarnation: Incarnation;
	epoch: number;
	map: ExpertMap;
	/** First step that has not begun. */
	nextStep: number;
	hold: Hold | undefined;
	pending: PendingMap | undefined;
	taken: ReadonlySet<number>;
	released: ReadonlySet<number>;
}>;

/** A step that the engine may arrive for. */
export type BegunStep = Readonly<{groupIncarnation: Incarnation; step: number; epoch: number; map: ExpertMap}>;

/** Holds, releases and maps of one engine; outlives its agent. */
export type MapAgreement = {
	readonly read: () => MapState;
	/** Refused for a released or taken epoch, for a step that has begun, and beside another hold or pending map. */
	readonly hold: (hold: Hold) => Result<void, MapRefusal>;
	/** Forbids a hold of this epoch for good. Refused while there is one, and when the map of this epoch was taken. */
	readonly forbid: (epoch: number) => Result<void, MapRefusal>;
	/** Ends a hold, and forbids one of this epoch for good. Refused when the map of this epoch was taken. */
	readonly release: (epoch: number) => Result<void, MapRefusal>;
	/** Refused without a hold of the same epoch and step; a repeat is harmless. */
	readonly takeMap: (map: PendingMap) => Result<void, MapRefusal>;
	/** Waits while a hold forbids the next step, then begins it; gives its map and epoch. */
	readonly beginStep: () => Promise<BegunStep>;
	/** Waits until the engine is in another incarnation than this one. */
	readonly untilIncarnationIsNot: (groupIncarnation: Incarnation) => Promise<void>;
	/**
	 * Begins again at `step` with the initial map; a hold or pending map ends as released.
	 *
	 * Nothing happens when the engine is in this incarnation already.
	 */
	readonly restartGroup: (groupIncarnation: Incarnation, step: number) => void;
};

function refuse(reason: MapRefusal['reason']): {readonly ok: false; readonly error: MapRefusal} {
	return fail({tag: 'refused', reason});
}

function refusalOfHold(state: MapState, hold: Hold): MapRefusal['reason'] | undefined {
	if (state.released.has(hold.epoch)) {
		return 'released';
	}

	if (state.taken.has(hold.epoch)) {
		return 'taken';
	}

	if (hold.fromStep < state.nextStep) {
		return 'step_past';
	}

	if (state.pending) {
		return 'map_pending';
	}

	const isOther = state.hold && (state.hold.epoch !== hold.epoch || state.hold.fromStep !== hold.fromStep);
	return isOther ? 'other_hold' : undefined;
}

function releaseEpoch(state: MapState, epoch: number): MapState {
	return {
		...state,
		hold: state.hold?.epoch === epoch ? undefined : state.hold,
		released: new Set([...state.released, epoch]),
	};
}

function isHeld(state: MapState): boolean {
	return state.hold !== undefined && state.hold.fromStep <= state.nextStep;
}

function enterStep(state: MapState): MapState {
	const {pending, nextStep} = state;
	const current = pending && pending.fromStep <= nextStep
		? {
			...state, epoch: pending.epoch, map: pending.map, pending: undefined,
		}
		: state;
	return {...current, nextStep: nextStep + 1};
}

function restartAt(state: MapState, initialMap: ExpertMap, groupIncarnation: Incarnation, step: number): MapState {
	const open = [state.hold?.epoch, state.pending?.epoch].filter(epoch => epoch !== undefined);
	return {
		groupIncarnation,
		epoch: 0,
		map: initialMap,
		nextStep: step,
		hold: undefined,
		pending: undefined,
		taken: state.taken,
		released: new Set([...state.released, ...open]),
	};
}

/** Creates the agreement of an engine that runs `initialMap` as epoch 0. */
export function createMapAgreement(initialMap: ExpertMap): MapAgreement {
	const store = createSnapshotStore<MapState>({
		groupIncarnation: '',
		epoch: 0,
		map: initialMap,
		nextStep: 0,
		hold: undefined,
		pending: undefined,
		taken: new Set(),
		released: new Set(),
	});

	async function untilChanged(): Promise<void> {
		await new Promise<void>(resolve => {
			const stop = store.registerListener(() => {
				stop();
				resolve();
			});
		});
	}

	return {
		read: store.read,
		hold(hold) {
			const reason = refusalOfHold(store.read(), hold);
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
		takeMap(pending) {
			const {taken, hold} = store.read();
			if (taken.has(pending.epoch)) {
				return succeed(undefined);
			}

			if (hold?.epoch !== pending.epoch || hold.fromStep !== pending.fromStep) {
				return refuse('no_hold');
			}

			store.update(state => ({
				...state, hold: undefined, pending, taken: new Set([...state.taken, pending.epoch]),
			}));
			return succeed(undefined);
		},
		async beginStep() {
			while (isHeld(store.read())) {
				// eslint-disable-next-line no-await-in-loop
				await untilChanged();
			}

			const step = store.read().nextStep;
			const {groupIncarnation, epoch, map} = store.update(state => enterStep(state));
			return {
				groupIncarnation, step, epoch, map,
			};
		},
		async untilIncarnationIsNot(groupIncarnation) {
			while (store.read().groupIncarnation === groupIncarnation) {
				// eslint-disable-next-line no-await-in-loop
				await untilChanged();
			}
		},
		restartGroup(groupIncarnation, step) {
			store.update(state => state.groupIncarnation === groupIncarnation
				? state
				: restartAt(state, initialMap, groupIncarnation, step));
		},
	};
}
