/** A fleet of entries and engines in simulated time, with prompts that crash engines and engines that crash for other reasons. */
import type {Clock} from '../../../core/clock.js';
import {createSeededRandom} from '../../random.js';
import {readFindingTraits} from '../finding.js';
import {createRequestQuarantine, type RequestQuarantine} from '../request-quarantine.js';
import {SURVIVED_EVENTS} from '../quarantine-constants.js';

export type FleetOptions = Readonly<{
	seed: number;
	entries: number;
	engines: number;
	/** Whether the engines form one rank group: while one of them is down, none works. */
	isGroup: boolean;
	/** Number of different parts that crash engines. */
	poisonousParts: number;
	/** Place of these parts in the prompt. */
	position: 'first' | 'middle';
	/** Requests a second. */
	soundRate: number;
	poisonousRate: number;
	/** Number of requests that crash engines by themselves and come again; each time `copies` are sent at once. */
	repeatedRequests: number;
	copies: number;
	/** Whether they have the parts of sound prompts, or none. */
	hasParts: boolean;
	/** When the first poisonous request is sent, in milliseconds. */
	poisonousFromMillis: number;
	/** Crashes a second for other reasons; one in five takes a third of all engines. */
	otherCrashRate: number;
	durationMillis: number;
}>;

type Request = Readonly<{id: string; entry: number; parts: readonly string[]; fingerprint: string; isPoisonous: boolean}>;
type Attempt = {readonly request: Request; readonly sentAtMillis: number; events: number; readonly isRetry: boolean};
type Engine = {id: string; incarnation: number; isUp: boolean; running: Set<Attempt>};

const GOSSIP_MILLIS = 5;
const RESTART_MILLIS = 4000;
const STALL_MILLIS = 1500;
const FIRST_EVENT_MILLIS = 60;
const EVENT_MILLIS = 40;
const LAST_EVENT = 12;
/** Requests are spread over these first parts and these documents. */
const ROUTES = 3;
const DOCUMENTS = 12;

/** Time at which a poisonous request reached an engine, or at which it crashed one. */
export type FleetResult = Readonly<{
	poisonousArrivals: readonly number[];
	poisonCrashes: readonly number[];
	/** The same for each request that comes again. */
	repeated: ReadonlyArray<Readonly<{arrivals: readonly number[]; crashes: readonly number[]}>>;
	/** Sound requests: when they were sent, and whether they began at the first attempt or were quarantined. */
	sound: ReadonlyArray<Readonly<{atMillis: number; hasBegun: boolean; isQuarantined: boolean}>>;
	/** Sound parts that were held to crash engines by themselves, at any entry. */
	falseFindings: ReadonlySet<string>;
}>;

/** Plays the fleet. */
export function playFleet(options: FleetOptions): FleetResult {
	const random = createSeededRandom(options.seed);
	const draw = (count: number) => Math.floor(random() * count);
	let nowMillis = 0;
	let order = 0;
	let started = 0;
	let events: Array<Readonly<{atMillis: number; order: number; run: () => void}>> = [];
	const clock: Clock = {
		now: () => new Date(nowMillis), monotonicMillis: () => nowMillis, async sleep() {
			throw new Error('nothing sleeps in the simulation');
		},
	};

	function schedule(delayMillis: number, run: () => void): void {
		order++;
		const event = {atMillis: nowMillis + delayMillis, order, run};
		let low = 0;
		let high = events.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (events[middle]!.atMillis <= event.atMillis) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		events.splice(low, 0, event);
	}

	const poisonousParts = new Set(Array.from({length: options.poisonousParts}, (_, i) => `bad${i}`));
	const repeated = Array.from({length: options.repeatedRequests}, () => ({arrivals: [] as number[], crashes: [] as number[]}));
	const poisonousFingerprints = new Set(repeated.map((_, i) => `again${i}`));
	const poisonousArrivals: number[] = [];
	const poisonCrashes: number[] = [];
	const sound: Array<{atMillis: number; hasBegun: boolean; isQuarantined: boolean}> = [];
	const falseFindings = new Set<string>();
	const quarantines: RequestQuarantine[] = Array.from({length: options.entries}, () => createRequestQuarantine({
		clock,
		onFound(finding) {
			const traits = readFindingTraits(finding);
			if (!traits.some(trait => poisonousParts.has(trait) || poisonousFingerprints.has(trait))) {
				falseFindings.add(traits.join(' '));
			}
		},
		onReleased: () => undefined,
	}));
	for (const quarantine of quarantines) {
		quarantine.registerListener(records => {
			for (const other of quarantines.filter(candidate => candidate !== quarantine)) {
				schedule(GOSSIP_MILLIS * (0.5 + random()), () => {
					other.merge(records);
				});
			}
		});
	}

	const engines: Engine[] = Array.from({length: options.engines}, (_, i) => ({
		id: `e${i}`, incarnation: 0, isUp: true, running: new Set(),
	}));
	const isStalled = () => options.isGroup && engines.some(({isUp}) => !isUp);

	/** Record of a request that comes again; undefined for any other one. */
	const findRepeated = ({fingerprint}: Request) => repeated[[...poisonousFingerprints].indexOf(fingerprint)];

	function crash(engine: Engine, cause: Request | undefined): void {
		if (!engine.isUp) {
			return;
		}

		if (cause) {
			poisonCrashes.push(nowMillis);
			findRepeated(cause)?.crashes.push(nowMillis);
		}

		engine.isUp = false;
		const lost = [...engine.running];
		engine.running.clear();
		for (const attempt of lost.filter(({events: count}) => count < SURVIVED_EVENTS)) {
			const {request, sentAtMillis} = attempt;
			const {id: server, incarnation} = engine;
			schedule(5, () => {
				quarantines[request.entry]!.noteLost({server, incarnation}, {
					attemptId: request.id, parts: request.parts, fingerprint: request.fingerprint, sentAtMillis,
				});
				if (!attempt.isRetry) {
					send(request, true);
				}
			});
		}

		if (options.isGroup) {
			schedule(STALL_MILLIS, () => {
				for (const other of engines) {
					other.running.clear();
				}
			});
		}

		schedule(RESTART_MILLIS, () => {
			engine.isUp = true;
			engine.incarnation++;
		});
	}

	function progress(engine: Engine, attempt: Attempt, onBegun: () => void): void {
		if (!engine.running.has(attempt)) {
			return;
		}

		if (isStalled()) {
			schedule(EVENT_MILLIS, () => {
				progress(engine, attempt, onBegun);
			});
			return;
		}

		if (attempt.request.isPoisonous) {
			crash(engine, attempt.request);
			return;
		}

		attempt.events++;
		onBegun();
		if (attempt.events === SURVIVED_EVENTS) {
			quarantines[attempt.request.entry]!.noteSound(attempt.request);
		}

		if (attempt.events === LAST_EVENT) {
			engine.running.delete(attempt);
		} else {
			schedule(EVENT_MILLIS, () => {
				progress(engine, attempt, onBegun);
			});
		}
	}

	function send(request: Request, isRetry: boolean): void {
		const quarantine = quarantines[request.entry]!;
		const outcome = {atMillis: nowMillis, hasBegun: false, isQuarantined: false};
		if (!request.isPoisonous && !isRetry) {
			sound.push(outcome);
		}

		const verdict = quarantine.judge(request);
		const release = verdict.tag === 'probe' ? quarantine.tryProbe(verdict.finding) : undefined;
		if (verdict.tag === 'quarantined' || (verdict.tag === 'probe' && !release)) {
			outcome.isQuarantined = true;
			return;
		}

		if (release) {
			schedule(1000, release);
		}

		const up = engines.filter(({isUp}) => isUp);
		const engine = up[draw(up.length)];
		if (!engine || isStalled()) {
			return;
		}

		if (request.isPoisonous) {
			poisonousArrivals.push(nowMillis);
			findRepeated(request)?.arrivals.push(nowMillis);
		}

		const attempt: Attempt = {
			request, sentAtMillis: nowMillis, events: 0, isRetry,
		};
		engine.running.add(attempt);
		schedule(FIRST_EVENT_MILLIS * (0.5 + random()), () => {
			progress(engine, attempt, () => {
				outcome.hasBegun = true;
			});
		});
	}

	function createRequest(isPoisonous: boolean): Request {
		started++;
		const route = draw(ROUTES);
		const shared = [`sys${route}`, `doc${route}-${draw(DOCUMENTS)}`];
		const bad = isPoisonous ? [`bad${draw(options.poisonousParts)}`] : [];
		return {
			id: `r${started}`,
			fingerprint: `f${started}`,
			entry: draw(options.entries),
			parts: [...options.position === 'first' ? bad : [], ...shared, ...options.position === 'middle' ? bad : [], `own${started}`],
			isPoisonous,
		};
	}

	/** Runs a step again and again, at a mean rate a second. */
	function repeat(rate: number, run: () => void): void {
		if (rate > 0) {
			schedule(-Math.log(1 - random()) * 1000 / rate, () => {
				run();
				repeat(rate, run);
			});
		}
	}

	repeat(options.soundRate, () => {
		send(createRequest(false), false);
	});
	schedule(options.poisonousFromMillis, () => {
		repeat(options.poisonousParts > 0 ? options.poisonousRate : 0, () => {
			send(createRequest(true), false);
		});
		repeat(options.repeatedRequests > 0 ? options.poisonousRate : 0, () => {
			const i = draw(options.repeatedRequests);
			const first = draw(options.entries);
			for (let copy = 0; copy < options.copies; copy++) {
				started++;
				send({
					id: `r${started}`, entry: (first + copy) % options.entries, parts: options.hasParts ? ['sys0', 'doc0-0', `again${i}`] : [], fingerprint: `again${i}`, isPoisonous: true,
				}, false);
			}
		});
	});
	repeat(options.otherCrashRate, () => {
		const count = random() < 0.2 ? Math.ceil(options.engines / 3) : 1;
		for (let i = 0; i < count; i++) {
			crash(engines[draw(engines.length)]!, undefined);
		}
	});
	for (let event = events[0]; event && event.atMillis <= options.durationMillis; event = events[0]) {
		events = events.slice(1);
		nowMillis = event.atMillis;
		event.run();
	}

	return {
		poisonousArrivals, poisonCrashes, repeated, sound, falseFindings,
	};
}
