/**
 * Runs all tests with node:test. Arguments narrow the run to files whose path contains one of them.
 *
 * A failure whose test name is listed in KNOWN-RED.txt is printed and passed over; any other ends with exit code 1.
 */
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {run} from 'node:test';
import {spec as SpecReporter} from 'node:test/reporters';

/** Longest time one test file may take, in milliseconds. */
const FILE_TIMEOUT_MILLIS = 120_000;
/** Test files run at once. */
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
function readKnownRed(): ReadonlySet<string> {
	const lines = readFileSync(path.join(root, 'KNOWN-RED.txt'), 'utf8').split('\n');
	return new Set(lines.filter(line => line.startsWith('test:')).map(line => line.slice('test:'.length).trim()));
}

const knownRed = readKnownRed();
const passedOver: string[] = [];
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

	(knownRed.has(event.name) ? passedOver : failed).push(event.name);
});
events.pipe(new SpecReporter()).pipe(process.stdout);
events.on('end', () => {
	for (const name of passedOver) {
		console.log(`known red, passed over: ${name}`);
	}

	for (const name of failed) {
		console.log(`failed: ${name}`);
	}

	console.log(`${passed} passed, ${failed.length} failed`);
	process.exitCode = failed.length > 0 || passed === 0 ? 1 : 0;
});
