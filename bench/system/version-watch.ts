import {request} from 'undici';
import type {DaemonProcess} from './daemon-process.js';

/** Follows the configuration version that each running daemon reports. */
export type VersionWatch = Readonly<{
	/** Reads the version of each daemon that runs. */
	look: () => Promise<void>;
	/** Lowest version at the last look; 0 when one did not answer. */
	lowest: () => number;
	/** Daemons of which a run reported a lower version than before. */
	reverted: () => readonly string[];
}>;

type Seen = Readonly<{pid: number; version: number}>;

const VERSION_LINE = /^pollenport_config_version (?<version>\d+)/mv;
/** Longest wait for a daemon's metrics, in milliseconds. */
const TIMEOUT_MILLIS = 2000;

async function readVersion(daemon: DaemonProcess): Promise<number> {
	try {
		const reply = await request(`${daemon.metricsUrl}/metrics`, {headersTimeout: TIMEOUT_MILLIS, bodyTimeout: TIMEOUT_MILLIS});
		const text = await reply.body.text();
		return Number(VERSION_LINE.exec(text)?.groups?.version ?? 0);
	} catch {
		return 0;
	}
}

/** Creates a watch over `daemons`. */
export function watchVersions(daemons: readonly DaemonProcess[]): VersionWatch {
	const seen = new Map<string, Seen>();
	const reverted = new Set<string>();
	let lowest = 0;

	async function lookAt(daemon: DaemonProcess): Promise<number> {
		const pid = daemon.pid();
		const version = await readVersion(daemon);
		const before = seen.get(daemon.name);
		if (pid === undefined || version === 0) {
			return pid === undefined ? Number.POSITIVE_INFINITY : 0;
		}

		if (before?.pid === pid && version < before.version) {
			reverted.add(daemon.name);
		}

		seen.set(daemon.name, {pid, version});
		return version;
	}

	return {
		async look() {
			const versions = await Promise.all(daemons.map(async daemon => lookAt(daemon)));
			lowest = Math.min(...versions);
		},
		lowest: () => lowest,
		reverted: () => [...reverted],
	};
}
