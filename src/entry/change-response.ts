/** Error responses to operators' configuration changes. */
import {match} from 'ts-pattern';
import type {ChangeError} from '../configuration/change-error.js';
import type {Configuration} from '../configuration/configuration.js';

/** The change that an operator requested, as a conflict response shows it. */
export type RequestedChange = Readonly<{expectedVersion: number; changedBy: string; changeId: string}>;

/** Identifies a configuration by its version and its author. */
function summarise(cfg: Configuration | undefined): Readonly<{version: number; changedBy: string; changeId: string}> | undefined {
	return cfg && {version: cfg.version, changedBy: cfg.changedBy, changeId: cfg.changeId};
}

function createConflictResponse(requested: RequestedChange, current: Configuration | undefined): Response {
	return Response.json({
		outcome: 'conflict',
		expectedVersion: requested.expectedVersion,
		current: summarise(current) ?? null,
		yours: {changedBy: requested.changedBy, changeId: requested.changeId},
	}, {status: 409});
}

/** Creates the response to a change that was not accepted: `{outcome, reason, detail}`, or both changes when they conflict. */
export function createChangeErrorResponse(error: ChangeError, requested: RequestedChange): Response {
	return match(error)
		.with({tag: 'conflict'}, ({other}) => createConflictResponse(requested, other))
		.with({tag: 'other_version'}, ({current}) => createConflictResponse(requested, current))
		.with({tag: 'unavailable'}, ({detail}) => Response.json({outcome: 'refused', reason: 'table_unavailable', detail}, {status: 503, headers: {'Retry-After': '5'}}))
		.with({tag: 'unsettled'}, ({changeId, detail}) => Response.json({
			outcome: 'unknown', reason: 'table_unavailable', detail, changeId,
		}, {status: 504}))
		.with({tag: 'ill_formed'}, ({detail}) => Response.json({outcome: 'refused', reason: 'bad_request', detail}, {status: 400}))
		.with({tag: 'rejected'}, ({reason}) => match(reason)
			.with({tag: 'no_configuration'}, () => Response.json({outcome: 'refused', reason: 'no_configuration', detail: 'apply targets first'}, {status: 409}))
			.with({tag: 'stop_exists'}, ({stop}) => Response.json({outcome: 'refused', reason: 'stop_exists', detail: stop.id}, {status: 409}))
			.with({tag: 'stop_unknown'}, ({id}) => Response.json({outcome: 'refused', reason: 'stop_unknown', detail: `no planned stop ${id}`}, {status: 404}))
			.exhaustive())
		.exhaustive();
}
