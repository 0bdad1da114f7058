import type {Result} from '../core/result.js';
import type {Metrics} from '../observability/metrics.js';
import type {InstanceList} from '../ports/instance-list.js';
import type {ObjectStore} from '../ports/object-store.js';
import type {TableStore} from '../ports/table-store.js';

/** The counter of failed calls to the platform. */
export type PlatformErrorCounter = Pick<Metrics, 'platformErrors'>;

type Tagged = Readonly<{tag: string}>;

/** Tags of answers that are no fault of the platform. */
const ANSWER_TAGS: ReadonlySet<string> = new Set(['conflict', 'exists']);

/** Counts the failure of a call, if it is one, by store and tag; gives the result on. */
async function count<T, E extends Tagged>(
	store: string,
	{platformErrors}: PlatformErrorCounter,
	call: Promise<Result<T, E>>,
): Promise<Result<T, E>> {
	const result = await call;
	if (!result.ok && !ANSWER_TAGS.has(result.error.tag)) {
		platformErrors.inc({store, error: result.error.tag});
	}

	return result;
}

/** Counts the failed calls to a table service; a conflict is none. */
export function instrumentTableStore(table: TableStore, metrics: PlatformErrorCounter): TableStore {
	return {
		read: async (name, key) => count('table', metrics, table.read(name, key)),
		list: async (name, prefix) => count('table', metrics, table.list(name, prefix)),
		transact: async tx => count('table', metrics, table.transact(tx)),
	};
}

/** Counts the failed calls to an object store; an object that exists is none. */
export function instrumentObjectStore(objects: ObjectStore, metrics: PlatformErrorCounter): ObjectStore {
	return {
		create: async (key, bytes) => count('object', metrics, objects.create(key, bytes)),
		read: async key => count('object', metrics, objects.read(key)),
		list: async prefix => count('object', metrics, objects.list(prefix)),
	};
}

/** Counts the failed reads of an instance list. */
export function instrumentInstanceList(instances: InstanceList, metrics: PlatformErrorCounter): InstanceList {
	return {list: async () => count('instance_list', metrics, instances.list())};
}
