/**
 * Runs all tests with node:test. Arguments narrow the run to files whose path contains one of them.
 *
 * A failed test listed in KNOWN-RED.txt is printed but not counted; any other failure, or a run without a passed test, ends with exit code 1.
 */
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {run} from 'node:test';
import {spec as SpecReporter} from 'node:test/reporters';

/** Time limit of one test file, in milliseconds. */
const FILE_TIMEOUT_MILLIS = 120_000;
/** Test files that run at the same time. */
const CONCURRENCY = 4;

const root = path.resolve(import.meta.dirname, '..', '..');

function findTestFiles(filters: readonly string[]): readonly string[] {
	return readdirSync(path.join(root, 'dist'), {recursive: true, encoding: 'utf8'})
		.filter(file => file.endsWith('.test.js') && file.includes('__tests__'))
		.filter(file => filters.length === 0 || filters.some(filter => file.includes(filter)))
		.map(file => path.join(root, 'dist', file))
		.toSorted();
}

/** Names of the tests in KNOWN-RED.txt: the text after `test:` of each entry. */
function readListedTests(): ReadonlySet<string> {
	const lines = readFileSync(path.join(root, 'KNOWN-RED.txt'), 'utf8').split('\n');
	return new Set(lines.filter(line => line.startsWith('test:')).map(line => line.slice('test:'.length).trim()));
}

const listedTests = readListedTests();
const listedFailures: string[] = [];
const failed: string[] = [];
let passed = 0;

const files = findTestFiles(process.argv.slice(2));
const events = run({files: [...files], concurrency: CONCURRENCY, timeout: FILE_TIMEOUT_MILLIS});
events.on('test:pass', event => {
	passed += event.details.type === 'suite' ? 0 : 1;
});
events.on('test:fail', event => {
	if (Reflect.get(event.details.error, 'failureType') === 'subtestsFailed') {
		return;
	}

	(listedTests.has(event.name) ? listedFailures : failed).push(event.name);
});
events.pipe(new SpecReporter()).pipe(process.stdout);
events.on('end', () => {
	for (const name of listedFailures) {
		console.log(`failed, but listed in KNOWN-RED.txt: ${name}`);
	}

	for (const name of failed) {
		console.log(`failed: ${name}`);
	}

	console.log(`${passed} passed, ${failed.length} failed`);
	process.exitCode = failed.length > 0 || passed === 0 ? 1 : 0;
});
