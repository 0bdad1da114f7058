import {fail, type Result} from '../core/result.js';
import {readDocument, type DocumentError} from '../toml/toml-document.js';
import {settingsSchema, type Settings} from './settings.js';

const LOOPBACK_PATTERN = /^127\./v;

function getListenAddresses(settings: Settings): ReadonlyArray<Readonly<{field: string; address: string}>> {
	return settings.role === 'entry'
		? [
			{field: 'caller_listen', address: settings.callerListen},
			{field: 'operator_listen', address: settings.operatorListen},
		]
		: [{field: 'link_listen', address: settings.linkListen}];
}

/** A process that listens outside loopback needs a token or certificates for its peers, and an entry also for operators. */
function findMissingSecret(settings: Settings): Readonly<{field: string; detail: string}> | undefined {
	const exposed = getListenAddresses(settings).find(({address}) => !address.startsWith('127.'));
	if (!exposed) {
		return undefined;
	}

	if (settings.linkTokenFile === undefined && settings.tls === undefined) {
		return {field: 'link_token_file', detail: `needed unless [tls] is set, because ${exposed.field} is not a loopback address`};
	}

	if (settings.role === 'entry' && settings.operatorTokenFile === undefined && settings.tls === undefined) {
		return {field: 'operator_token_file', detail: `needed unless [tls] is set, because ${exposed.field} is not a loopback address`};
	}

	return undefined;
}

/** Reads the settings file of a process. */
export async function readSettings(file: string): Promise<Result<Settings, DocumentError>> {
	const settings = await readDocument(file, settingsSchema);
	if (!settings.ok) {
		return settings;
	}

	const missing = findMissingSecret(settings.value);
	return missing ? fail({tag: 'bad_document', file, ...missing}) : settings;
}
