import {Buffer} from 'node:buffer';
import {generate} from 'selfsigned';
import type {TlsMaterial} from '../src/access/link-access.js';

const KEY_BITS = 2048;
/** Kind of an alternative name that is an IP number. */
const IP_NAME = 7;

/** A certificate for 127.0.0.1 that is its own authority. */
export function createTestCertificate(): TlsMaterial {
	const pems = generate([{name: 'commonName', value: 'pollenport'}], {
		keySize: KEY_BITS,
		extensions: [{name: 'basicConstraints', cA: true}, {name: 'subjectAltName', altNames: [{type: IP_NAME, ip: '127.0.0.1'}]}],
	});
	return {certificate: Buffer.from(pems.cert), key: Buffer.from(pems.private), authority: Buffer.from(pems.cert)};
}
