import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {createFingerprint} from '../request-fingerprint.js';

const req = {host: 'h.example', path: '/a/b?c=1', body: Buffer.from('body')};

void test('a request that comes again has the same fingerprint', () => {
	assert.equal(createFingerprint({...req, body: Buffer.from('body')}, 'account'), createFingerprint(req, 'account'));
	assert.match(createFingerprint(req, 'account'), /^[\da-f]{16}$/v);
});

for (const {name, other, account} of [
	{name: 'body', other: {...req, body: Buffer.from('body2')}, account: 'account'},
	{name: 'path', other: {...req, path: '/a/b'}, account: 'account'},
	{name: 'host', other: {...req, host: 'i.example'}, account: 'account'},
	{name: 'account', other: req, account: 'other'},
	{name: 'border between path and body', other: {...req, path: '/a/b?c=1b', body: Buffer.from('ody')}, account: 'account'},
]) {
	void test(`a request with another ${name} has another fingerprint`, () => {
		assert.notEqual(createFingerprint(other, account), createFingerprint(req, 'account'));
	});
}
