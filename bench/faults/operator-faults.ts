import path from 'node:path';
import {readFile, writeFile} from 'node:fs/promises';
import {parsePlainRecords} from '../system/evidence.js';
import {runTool, type ToolRun} from '../system/run-tool.js';
import {systemClock} from '../../src/core/system-clock.js';
import {TARGETS_FILE} from '../system/targets-file.js';
import type {ActiveFault, FaultContext, FaultKind} from './fault.js';

/** Time after which a leaving backend server must get no new work, in milliseconds. */
const LEAVE_MILLIS = 3000;
/** Time that a planned stop stays in force after that, in milliseconds. */
const STAY_MILLIS = 1000;

const NOTHING_TO_HEAL: ActiveFault = {
	async heal() {
		// It is over already.
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

/** Two operators change the targets from the same version at once: at most one may be told that it is accepted. */
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
			ctx.report(`configuration_never_reverts: both operators replaced version ${version}`);
		}

		return NOTHING_TO_HEAL;
	},
};

/** A planned stop of a plain service's agent, cancelled later: in between its backend server gets no new work. */
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

				await systemClock.sleep(LEAVE_MILLIS + STAY_MILLIS);
				const until = Date.now();
				const executions = parsePlainRecords(await ctx.system.plains[index]?.readRecords());
				const late = executions.filter(({startedAt}) => Date.parse(startedAt) > plannedAt + LEAVE_MILLIS && Date.parse(startedAt) < until);
				if (late.length > 0) {
					ctx.report(`leaving_gets_no_new_work: ${late.length} executions at ${agent?.name ?? ''} after ${LEAVE_MILLIS} ms`);
				}

				await runTool('stop', 'cancel', id, '--entry', operatorUrls(ctx));
			},
		};
	},
};

/** What operators do at the same time. */
export const operatorFaults: readonly FaultKind[] = [operatorRace, plannedStop];
