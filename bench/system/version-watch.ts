import {request} from 'undici';
import type {DaemonProcess} from './daemon-process.js';

/** Tracks the configuration version that each running daemon reports. */
export type VersionWatch = Readonly<{
	/** Reads the version of each running daemon. */
	poll: () => Promise<void>;
	/** Lowest version at the last poll; 0 when a running daemon did not answer. */
	lowestVersion: () => number;
	/** Daemons that reported a lower version than before within one run of the process. */
	revertedDaemons: () => readonly string[];
}>;

type ReportedVersion = Readonly<{pid: number; version: number}>;

const VERSION_LINE = /^pollenport_config_version (?<version>\d+)/mv;
/** Timeout for the response headers and for each pause within the body, in milliseconds. */
const METRICS_TIMEOUT_MILLIS = 2000;

async function readVersion(daemon: DaemonProcess): Promise<number> {
	try {
		const reply = await request(`${daemon.metricsUrl}/metrics`, {headersTimeout: METRICS_TIMEOUT_MILLIS, bodyTimeout: METRICS_TIMEOUT_MILLIS});
		const text = await reply.body.text();
		return Number(VERSION_LINE.exec(text)?.groups?.version ?? 0);
	} catch {
		return 0;
	}
}

export function watchVersions(daemons: readonly DaemonProcess[]): VersionWatch {
	const lastReported = new Map<string, ReportedVersion>();
	const revertedDaemons = new Set<string>();
	let lowestVersion = 0;

	async function pollDaemon(daemon: DaemonProcess): Promise<number> {
		const pid = daemon.pid();
		const version = await readVersion(daemon);
		const previous = lastReported.get(daemon.name);
		if (pid === undefined || version === 0) {
			return pid === undefined ? Number.POSITIVE_INFINITY : 0;
		}

		if (previous?.pid === pid && version < previous.version) {
			revertedDaemons.add(daemon.name);
		}

		lastReported.set(daemon.name, {pid, version});
		return version;
	}

	return {
		async poll() {
			const versions = await Promise.all(daemons.map(async daemon => pollDaemon(daemon)));
			lowestVersion = Math.min(...versions);
		},
		lowestVersion: () => lowestVersion,
		revertedDaemons: () => [...revertedDaemons],
	};
}
