import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import path from 'node:path';
import {test} from 'node:test';
import {startLocalSystem, type LocalSystem} from '../local-system.js';
import {runTool, type ToolRun} from '../run-tool.js';
import {DEFAULT_SYSTEM} from '../system-options.js';

type PageCommand = Readonly<{words: readonly string[]; exitCode: number}>;

const EXIT_CODE_NOTE = / # exit code (?<code>\d)$/v;

/** Commands in the `sh` blocks of a page, with the exit code that the comment after a command gives, 0 by default. */
function parseCommands(page: string): readonly PageCommand[] {
	const blocks = [...page.matchAll(/```sh\n(?<body>.*?)```/gsv)].map(block => block.groups?.body ?? '');
	return blocks
		.flatMap(block => block.split('\n'))
		.filter(line => line.startsWith('pollenport '))
		.map(line => ({
			words: line.replace(EXIT_CODE_NOTE, '').split(' ').slice(1),
			exitCode: Number(EXIT_CODE_NOTE.exec(line)?.groups?.code ?? 0),
		}));
}

async function runPage(system: LocalSystem, commands: readonly PageCommand[]): Promise<void> {
	const variables = new Map([['$OBJECTS', system.objects.url], ['$SETTINGS', path.join(system.dir, 'entry-0.toml')]]);
	const entry = system.entries.map(item => item.operatorUrl).join(',');
	for (const {words, exitCode} of commands) {
		const args = words.map(word => variables.get(word) ?? word);
		const needsEntry = !['audit', 'check', 'explain'].includes(args[0] ?? '');
		// Each command relies on the effects of those before it.
		// eslint-disable-next-line no-await-in-loop
		const run: ToolRun = await runTool(...args, ...(needsEntry ? ['--entry', entry] : []));
		assert.equal(run.exitCode, exitCode, `pollenport ${args.join(' ')}: ${run.text}`);
		const id: unknown = Reflect.get(new Object(run.output), 'id');
		if (typeof id === 'string') {
			variables.set('$STOP', id);
		}
	}
}

test('each command of docs/OPERATIONS.md ends with the exit code that the page gives', async () => {
	const commands = parseCommands(await readFile('docs/OPERATIONS.md', 'utf8'));
	assert.ok(commands.length > 10);
	const system = await startLocalSystem(DEFAULT_SYSTEM);
	try {
		await runPage(system, commands);
	} finally {
		const {uncleanExits} = await system.close(async () => undefined);
		assert.deepEqual(uncleanExits, []);
	}
});

test('the command-line tool reports "unreachable" with exit code 3 when no entry can be reached', async () => {
	const run = await runTool('status', '--entry', 'http://127.0.0.1:9');
	assert.equal(run.exitCode, 3);
	assert.equal(Reflect.get(new Object(run.output), 'outcome'), 'unreachable');
});

const badInput: ReadonlyArray<readonly [string, readonly string[], RegExp]> = [
	['an unknown command', ['aply'], /^Unknown command .*aply/v],
	['a missing file', ['apply'], /FILE/v],
	['a planned stop without a target', ['stop', 'plan'], /--instance ID or --failure-domain NAME/v],
	['a targets file that does not exist', ['check', '--targets', 'absent.toml'], /absent\.toml: cannot be read: ENOENT/v],
];

for (const [name, args, expected] of badInput) {
	test(`the command-line tool rejects ${name} with one line and exit code 2`, async () => {
		const run = await runTool(...args);
		assert.equal(run.exitCode, 2);
		assert.match(run.text, expected);
	});
}
