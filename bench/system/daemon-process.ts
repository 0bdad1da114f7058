import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {stringify} from 'smol-toml';
import type {Instance} from '../../src/ports/instance-list.js';
import {respondsOk} from './http-json.js';
import {createManagedProcess, type ManagedProcess} from './managed-process.js';
import {PROGRAM_ROOT} from './stand-in-process.js';

/** An entry or an agent that runs as a separate process. */
export type DaemonProcess = ManagedProcess & Readonly<{
	instance: Instance;
	metricsUrl: string;
	/** Empty for agents. */
	operatorUrl: string;
}>;

export type DaemonDefinition = Readonly<{
	instance: Instance;
	metricsPort: number;
	operatorPort: number;
	dir: string;
	/** Content of the settings file, with keys in snake case. */
	settings: Readonly<Record<string, unknown>>;
}>;

/** Writes the settings file of a daemon and defines its process. The process is ready once its health check answers, with or without a configuration. */
export function createDaemonProcess({instance, metricsPort, operatorPort, dir, settings}: DaemonDefinition): DaemonProcess {
	const file = path.join(dir, `${instance.id}.toml`);
	writeFileSync(file, stringify({...settings}));
	const metricsUrl = `http://127.0.0.1:${metricsPort}`;
	const managed = createManagedProcess({
		name: instance.id,
		args: [path.join(PROGRAM_ROOT, 'src', 'daemon', 'main.js'), '--settings', file],
		logFile: path.join(dir, `${instance.id}.log`),
		isReady: async () => respondsOk(`${metricsUrl}/healthz`),
	});
	return {
		...managed, instance, metricsUrl, operatorUrl: operatorPort === 0 ? '' : `http://127.0.0.1:${operatorPort}`,
	};
}
