import type {AuditRecorder} from '../audit/audit-record.js';
import type {Clock} from '../core/clock.js';
import type {Incarnation, InstanceId} from '../core/ids.js';
import type {Metrics} from '../observability/metrics.js';
import type {ModelEngine} from '../ports/model-engine.js';
import type {FencingFloor} from './fencing-floor.js';
import type {ProposalArchive} from './proposal-archive.js';
import type {VotePeers} from './vote-peers.js';

/** What a rank's part in the votes needs. */
export type RankVoterDeps = Readonly<{
	group: string;
	rank: number;
	agentId: InstanceId;
	incarnation: Incarnation;
	/** Whether the engine refuses orders with an old fencing token itself. */
	checksFencing: boolean;
	engine: ModelEngine;
	peers: VotePeers;
	floor: FencingFloor;
	archive: ProposalArchive;
	clock: Clock;
	audit: AuditRecorder;
	metrics: Pick<Metrics, 'votes' | 'mapOutcomes'>;
	/** Aborts when the process ends. */
	signal: AbortSignal;
}>;

/** Why a proposal or a report is not taken. */
export type VoteRefusal = Readonly<{tag: 'other_group' | 'not_a_member' | 'no_proposal'}>;
