import {Buffer} from 'node:buffer';
import {succeed, type Result} from '../core/result.js';
import {readText, type DocumentError} from '../toml/toml-document.js';
import type {TlsMaterial} from '../access/link-access.js';
import type {Settings} from './settings.js';

/** Contents of the token and certificate files named in the settings. */
export type Secrets = Readonly<{
	linkToken: string | undefined;
	operatorToken: string | undefined;
	tls: TlsMaterial | undefined;
}>;

async function readToken(file: string | undefined): Promise<Result<string | undefined, DocumentError>> {
	if (file === undefined) {
		return succeed(undefined);
	}

	const text = await readText(file);
	return text.ok ? succeed(text.value.trim()) : text;
}

async function readTls(tls: Settings['tls']): Promise<Result<TlsMaterial | undefined, DocumentError>> {
	if (!tls) {
		return succeed(undefined);
	}

	const certificate = await readText(tls.certificateFile);
	if (!certificate.ok) {
		return certificate;
	}

	const key = await readText(tls.keyFile);
	if (!key.ok) {
		return key;
	}

	const authority = await readText(tls.authorityFile);
	if (!authority.ok) {
		return authority;
	}

	return succeed({
		certificate: Buffer.from(certificate.value),
		key: Buffer.from(key.value),
		authority: Buffer.from(authority.value),
	});
}

/** Reads the token and certificate files named in the settings; an error names the file. */
export async function readSecrets(settings: Settings): Promise<Result<Secrets, DocumentError>> {
	const linkToken = await readToken(settings.linkTokenFile);
	if (!linkToken.ok) {
		return linkToken;
	}

	const operatorToken = await readToken(settings.role === 'entry' ? settings.operatorTokenFile : undefined);
	if (!operatorToken.ok) {
		return operatorToken;
	}

	const tls = await readTls(settings.tls);
	return tls.ok ? succeed({linkToken: linkToken.value, operatorToken: operatorToken.value, tls: tls.value}) : tls;
}
