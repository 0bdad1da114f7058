import type {Configuration, PlannedStop} from './configuration.js';

/** Why an update cannot be applied to the current configuration. */
export type UpdateRejection
	/** There is no configuration yet; targets must be set first. */
	= | Readonly<{tag: 'no_configuration'}>
		| Readonly<{tag: 'stop_exists'; stop: PlannedStop}>
		| Readonly<{tag: 'stop_unknown'; id: string}>;

/** Why a change was not accepted. */
export type ChangeError
	/** Another change was stored first; nothing of `own` is in force. */
	= | Readonly<{tag: 'conflict'; own: Configuration; other: Configuration}>
		/** The version in force differs from the expected one; `current` is undefined when there is none. Nothing was written. */
		| Readonly<{tag: 'other_version'; current: Configuration | undefined}>
		/** The table could not be reached, and this call wrote nothing. */
		| Readonly<{tag: 'unavailable'; detail: string}>
		/** The write may still take effect: its reply was lost, and reading the table back neither confirmed it nor ruled it out. */
		| Readonly<{tag: 'unsettled'; changeId: string; detail: string}>
		| Readonly<{tag: 'rejected'; reason: UpdateRejection}>
		/** The stored or the new configuration does not fit the schema; `detail` names the field. */
		| Readonly<{tag: 'ill_formed'; detail: string}>;
