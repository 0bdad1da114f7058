import process from 'node:process';
import type {OperatorAccess} from './operator-client.js';

/** Environment variable with the operator URLs of entries, separated by commas. */
const ENTRY_VARIABLE = 'POLLENPORT_ENTRY';

/** Arguments shared by all commands that send requests to an entry. */
export const accessArguments = {
	entry: {
		type: 'string', description: `Operator URLs of entries, separated by commas (default: $${ENTRY_VARIABLE})`, valueHint: 'URL',
	},
	tokenFile: {type: 'string', description: 'File with the operator token', valueHint: 'FILE'},
	ca: {type: 'string', description: 'Certificate authority of the entries, PEM', valueHint: 'FILE'},
	cert: {type: 'string', description: 'Own certificate, PEM', valueHint: 'FILE'},
	key: {type: 'string', description: 'Key of the own certificate, PEM', valueHint: 'FILE'},
	json: {type: 'boolean', description: 'Print one JSON document', default: false},
} as const;

/** Parsed values of {@link accessArguments}. */
export type AccessArguments = Readonly<{
	entry?: string;
	tokenFile?: string;
	ca?: string;
	cert?: string;
	key?: string;
	json: boolean;
}>;

/** Converts arguments to access options; without any URL the list stays empty. */
export function readAccess(args: AccessArguments): OperatorAccess {
	const entries = args.entry ?? process.env[ENTRY_VARIABLE] ?? '';
	return {
		urls: entries.split(',').map(url => url.trim()).filter(url => url !== ''),
		tokenFile: args.tokenFile,
		authorityFile: args.ca,
		certificateFile: args.cert,
		keyFile: args.key,
	};
}
