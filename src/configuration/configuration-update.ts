import {fail, succeed, type Result} from '../core/result.js';
import type {Targets} from '../targets/targets.js';
import type {UpdateRejection} from './change-error.js';
import type {Configuration, PlannedStop} from './configuration.js';

/** What an operator changes. */
export type ConfigurationContent = Pick<Configuration, 'targets' | 'plannedStops'>;

/** Makes new content from the present one, which is undefined before the first change. */
export type ConfigurationUpdate = (current: ConfigurationContent | undefined) => Result<ConfigurationContent, UpdateRejection>;

/** Puts `targets` in the place of all present ones; planned stops stay. */
export function replaceTargets(targets: Targets): ConfigurationUpdate {
	return current => succeed({targets, plannedStops: current?.plannedStops ?? []});
}

/** Announces a stop. */
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

/** Takes a planned stop back. */
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
