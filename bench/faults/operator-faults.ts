import path from 'node:path';
import {readFile, writeFile} from 'node:fs/promises';
import {parsePlainRecords} from '../system/evidence.js';
import {runTool, type ToolRun} from '../system/run-tool.js';
import {systemClock} from '../../src/core/system-clock.js';
import {TARGETS_FILE} from '../system/targets-file.js';
import type {ActiveFault, FaultContext, FaultKind} from './fault.js';

/** Time from planning a stop until its backend server must get no new work, in milliseconds. */
const LEAVING_GRACE_MILLIS = 3000;
/** Time after that for which the planned stop stays in force and is observed, in milliseconds. */
const OBSERVATION_MILLIS = 1000;

const NOTHING_TO_HEAL: ActiveFault = {
	async heal() {
		// The fault is over already.
	},
};

function operatorUrls({system}: FaultContext): string {
	return system.entries.map(entry => entry.operatorUrl).join(',');
}

function readVersion(run: ToolRun): number | undefined {
	const version: unknown = Reflect.get(new Object(run.output), 'version');
	return typeof version === 'number' ? version : undefined;
}

async function writeTargets(ctx: FaultContext, name: string): Promise<string> {
	const text = await readFile(TARGETS_FILE, 'utf8');
	const lateMillis = 500 + Math.floor(ctx.random() * 200);
	const file = path.join(ctx.system.dir, name);
	await writeFile(file, text.replace('late_after_millis = 540', `late_after_millis = ${lateMillis}`));
	return file;
}

/** Two operators replace the same version of the targets concurrently: at most one of the changes may be accepted. */
const operatorRace: FaultKind = {
	name: 'operator_race',
	async inject(ctx) {
		const current = await runTool('status', '--entry', operatorUrls(ctx));
		const version = readVersion(current);
		if (version === undefined) {
			return NOTHING_TO_HEAL;
		}

		const files = [await writeTargets(ctx, 'race-a.toml'), await writeTargets(ctx, 'race-b.toml')];
		const runs = await Promise.all(files.map(async file => runTool('apply', file, '--expected-version', String(version), '--entry', operatorUrls(ctx))));
		const accepted = runs.filter(run => run.exitCode === 0);
		if (accepted.length > 1) {
			ctx.reportBreach(`configuration_never_reverts: both operators replaced version ${version}`);
		}

		return NOTHING_TO_HEAL;
	},
};

/** The planned stop of a plain service's agent, cancelled later: meanwhile its backend server must get no new work. */
const plannedStop: FaultKind = {
	name: 'planned_stop_cancelled',
	async inject(ctx) {
		const index = Math.floor(ctx.random() * ctx.system.plainAgents.length);
		const agent = ctx.system.plainAgents[index];
		const plan = await runTool('stop', 'plan', '--instance', agent?.instance.id ?? '', '--entry', operatorUrls(ctx));
		const id: unknown = Reflect.get(new Object(plan.output), 'id');
		const plannedAt = Date.now();
		return {
			async heal() {
				if (plan.exitCode !== 0 || typeof id !== 'string') {
					return;
				}

				await systemClock.sleep(LEAVING_GRACE_MILLIS + OBSERVATION_MILLIS);
				const until = Date.now();
				const executions = parsePlainRecords(await ctx.system.plainServices[index]?.readRecords());
				const lateExecutions = executions.filter(({startedAt}) => Date.parse(startedAt) > plannedAt + LEAVING_GRACE_MILLIS && Date.parse(startedAt) < until);
				if (lateExecutions.length > 0) {
					ctx.reportBreach(`leaving_gets_no_new_work: ${lateExecutions.length} executions at ${agent?.name ?? ''} after ${LEAVING_GRACE_MILLIS} ms`);
				}

				await runTool('stop', 'cancel', id, '--entry', operatorUrls(ctx));
			},
		};
	},
};

/** Changes by operators while calls are in flight. */
export const operatorFaults: readonly FaultKind[] = [operatorRace, plannedStop];
