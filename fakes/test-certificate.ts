import {Buffer} from 'node:buffer';
import {generate} from 'selfsigned';
import type {TlsMaterial} from '../src/access/link-access.js';

const RSA_KEY_BITS = 2048;
/** Type number of an IP address in the subject alternative names. */
const SUBJECT_ALT_NAME_IP_TYPE = 7;

/** Creates a self-signed certificate for 127.0.0.1 that is its own certificate authority. */
export function createTestCertificate(): TlsMaterial {
	const pems = generate([{name: 'commonName', value: 'pollenport'}], {
		keySize: RSA_KEY_BITS,
		extensions: [{name: 'basicConstraints', cA: true}, {name: 'subjectAltName', altNames: [{type: SUBJECT_ALT_NAME_IP_TYPE, ip: '127.0.0.1'}]}],
	});
	return {certificate: Buffer.from(pems.cert), key: Buffer.from(pems.private), authority: Buffer.from(pems.cert)};
}
