import {fail, succeed, type Result} from '../core/result.js';
import type {Targets} from '../targets/targets.js';
import type {UpdateRejection} from './change-error.js';
import type {Configuration, PlannedStop} from './configuration.js';

/** The part of a configuration that operators change. */
export type ConfigurationContent = Pick<Configuration, 'targets' | 'plannedStops'>;

/** Derives new content from the current one, which is undefined before the first change. */
export type ConfigurationUpdate = (current: ConfigurationContent | undefined) => Result<ConfigurationContent, UpdateRejection>;

/** Replaces all targets and keeps the planned stops. */
export function replaceTargets(targets: Targets): ConfigurationUpdate {
	return current => succeed({targets, plannedStops: current?.plannedStops ?? []});
}

export function addPlannedStop(stop: PlannedStop): ConfigurationUpdate {
	return current => {
		if (!current) {
			return fail({tag: 'no_configuration'});
		}

		const known = current.plannedStops.find(other => other.id === stop.id);
		return known
			? fail({tag: 'stop_exists', stop: known})
			: succeed({...current, plannedStops: [...current.plannedStops, stop]});
	};
}

export function cancelPlannedStop(id: string): ConfigurationUpdate {
	return current => {
		if (!current) {
			return fail({tag: 'no_configuration'});
		}

		const kept = current.plannedStops.filter(stop => stop.id !== id);
		return kept.length === current.plannedStops.length
			? fail({tag: 'stop_unknown', id})
			: succeed({...current, plannedStops: kept});
	};
}
