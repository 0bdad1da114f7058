import type {Configuration, PlannedStop} from './configuration.js';

/** An update that the present configuration does not allow. */
export type UpdateRejection
	/** There is no configuration yet; targets come first. */
	= | Readonly<{tag: 'no_configuration'}>
		| Readonly<{tag: 'stop_exists'; stop: PlannedStop}>
		| Readonly<{tag: 'stop_unknown'; id: string}>;

/** Why a change was not accepted. */
export type ChangeError
	/** Another change came first; nothing of `own` is in force. */
	= | Readonly<{tag: 'conflict'; own: Configuration; other: Configuration}>
	/** Another version than the expected one is in force; undefined when there is none. Nothing was written. */
		| Readonly<{tag: 'other_version'; current: Configuration | undefined}>
	/** The table could not be reached, and this call wrote nothing. */
		| Readonly<{tag: 'unavailable'; detail: string}>
	/** The write may yet take effect: the table lost its reply and could not settle it by reading back. */
		| Readonly<{tag: 'unsettled'; changeId: string; detail: string}>
		| Readonly<{tag: 'rejected'; reason: UpdateRejection}>
	/** The stored or the new configuration does not fit the schema; `detail` names the field. */
		| Readonly<{tag: 'ill_formed'; detail: string}>;
