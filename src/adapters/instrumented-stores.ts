import type {Result} from '../core/result.js';
import type {Metrics} from '../observability/metrics.js';
import type {InstanceList} from '../ports/instance-list.js';
import type {ObjectStore} from '../ports/object-store.js';
import type {TableStore} from '../ports/table-store.js';

/** Metric that counts failed calls to the platform. */
export type PlatformErrorCounter = Pick<Metrics, 'platformErrors'>;

type Tagged = Readonly<{tag: string}>;

/** Error tags that are regular answers, not failures of the platform. */
const ANSWER_TAGS: ReadonlySet<string> = new Set(['conflict', 'exists']);

/** Counts the call by store and error tag if it fails, and returns its result. */
async function countFailure<T, E extends Tagged>(
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

/** Wraps a table service so that its failed calls are counted; a conflict is not a failure. */
export function instrumentTableStore(table: TableStore, metrics: PlatformErrorCounter): TableStore {
	return {
		read: async (name, key) => countFailure('table', metrics, table.read(name, key)),
		list: async (name, prefix) => countFailure('table', metrics, table.list(name, prefix)),
		transact: async tx => countFailure('table', metrics, table.transact(tx)),
	};
}

/** Wraps an object store so that its failed calls are counted; an object that already exists is not a failure. */
export function instrumentObjectStore(objects: ObjectStore, metrics: PlatformErrorCounter): ObjectStore {
	return {
		create: async (key, bytes) => countFailure('object', metrics, objects.create(key, bytes)),
		read: async key => countFailure('object', metrics, objects.read(key)),
		list: async prefix => countFailure('object', metrics, objects.list(prefix)),
	};
}

/** Wraps an instance list so that its failed reads are counted. */
export function instrumentInstanceList(instances: InstanceList, metrics: PlatformErrorCounter): InstanceList {
	return {list: async () => countFailure('instance_list', metrics, instances.list())};
}
