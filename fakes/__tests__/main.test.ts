import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {text} from 'node:stream/consumers';
import {test, type TestContext} from 'node:test';
import {request} from 'undici';
import {z} from 'zod';

const program = path.resolve(import.meta.dirname, '..', 'main.js');
const readySchema = z.object({ready: z.literal(true), url: z.string()});

function run(ctx: TestContext, args: readonly string[]) {
	const child = spawn(process.execPath, [program, ...args], {stdio: ['ignore', 'pipe', 'pipe']});
	ctx.after(() => child.kill('SIGKILL'));
	return child;
}

const commands: ReadonlyArray<readonly string[]> = [
	['table'],
	['objects'],
	['instance-list', '--lag-millis', '0'],
	['weight-store', '--rate-per-second', '5'],
	['rank-group', '--ranks', '4'],
	['engine', '--checks-fencing', 'false', '--rank', '0'],
	['plain', '--work-millis', '1'],
];
for (const args of commands) {
	test(`stand-in as a process: ${args.join(' ')} announces when it is ready, answers and exits on SIGTERM`, async ctx => {
		const child = run(ctx, [...args, '--listen', '127.0.0.1:0']);
		const lines = await once(createInterface({input: child.stdout}), 'line');
		const {url} = readySchema.parse(JSON.parse(String(lines[0])));
		const records = await request(`${url}/control/records`);
		assert.equal(records.statusCode, 200);
		await records.body.dump();
		const exit = once(child, 'exit');
		child.kill('SIGTERM');
		assert.deepEqual(await exit, [0, null]);
	});
}

const refusals: ReadonlyArray<Readonly<{args: readonly string[]; field: RegExp}>> = [
	{args: ['plain', '--listen', '127.0.0.1:0', '--work-millis', 'long'], field: /^--work-millis: /v},
	{args: ['table', '--listen', '127.0.0.1:99999'], field: /^--listen: /v},
];
for (const {args, field} of refusals) {
	test(`stand-in as a process: ${args.join(' ')} exits with code 2 and names the argument`, async ctx => {
		const child = run(ctx, args);
		const [message, exit] = await Promise.all([text(child.stderr), once(child, 'exit')]);
		assert.match(message, field);
		assert.deepEqual(exit, [2, null]);
	});
}
