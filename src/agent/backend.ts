import type {ModelEngine} from '../ports/model-engine.js';
import type {PlainService} from '../ports/plain-service.js';

/** The backend server beside an agent. */
export type Backend
	= | Readonly<{kind: 'engine'; engine: ModelEngine}>
		| Readonly<{kind: 'plain'; plain: PlainService}>;
