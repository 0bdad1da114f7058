import path from 'node:path';
import {invariant} from '../../src/core/invariant.js';
import {respondsOk, exchangeJson} from './http-json.js';
import {createManagedProcess, type ManagedProcess} from './managed-process.js';

/** Directory of the built programs. */
export const PROGRAM_ROOT = path.resolve(import.meta.dirname, '..', '..');

/** A stand-in for the platform or a backend server that runs as a separate process. */
export type StandInProcess = ManagedProcess & Readonly<{
	url: string;
	/** Sets fault switches; those not given keep their value. */
	setFaults: (faults: Readonly<Record<string, unknown>>) => Promise<void>;
	/** Reads what the stand-in recorded. */
	readRecords: () => Promise<unknown>;
	/** Sends a request to the control route `/control/<route>`. */
	control: (method: 'POST' | 'PUT', route: string, body: unknown) => Promise<void>;
}>;

export type StandInDefinition = Readonly<{
	name: string;
	kind: string;
	port: number;
	logDir: string;
	args: Readonly<Record<string, string | number | boolean>>;
}>;

/** Defines a stand-in process without starting it. */
export function createStandInProcess({name, kind, port, logDir, args}: StandInDefinition): StandInProcess {
	const listen = `127.0.0.1:${port}`;
	const url = `http://${listen}`;
	const flags = Object.entries(args).map(([flag, value]) => `--${flag}=${String(value)}`);
	const managed = createManagedProcess({
		name,
		args: [path.join(PROGRAM_ROOT, 'fakes', 'main.js'), kind, `--listen=${listen}`, ...flags],
		logFile: path.join(logDir, `${name}.log`),
		isReady: async () => respondsOk(`${url}/control/records`),
	});

	async function control(method: 'POST' | 'PUT', route: string, body: unknown): Promise<void> {
		const reply = await exchangeJson(method, `${url}/control/${route}`, body);
		invariant(reply?.status === 200, `control request to ${name} failed`);
	}

	return {
		...managed,
		url,
		control,
		setFaults: async faults => control('POST', 'faults', faults),
		async readRecords() {
			const reply = await exchangeJson('GET', `${url}/control/records`);
			return reply?.body;
		},
	};
}
