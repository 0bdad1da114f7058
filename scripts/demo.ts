/** Runs a complete system as separate processes on loopback, checks every promise, and prints a JSON summary as the last line. */
import process from 'node:process';
import {runDemo} from '../bench/demo/run-demo.js';

const summary = await runDemo();
console.log(JSON.stringify(summary));
process.exitCode = summary.promises.every(promise => promise.held) ? 0 : 1;
