/** Interval between the probes of an entry, as a share of the time within which a dead entry must be noticed. */
export const PROBE_INTERVAL_SHARE = 0.25;
/** An entry that knows no member yet looks for one this many times as often as it probes. */
export const JOIN_RATE = 4;
/** Wait for the answer to a probe, as a share of that time; an indirect probe gets twice as long. */
export const ACK_TIMEOUT_SHARE = 0.06;
/** Time to refute a suspicion, as a share of that time. */
export const SUSPICION_SHARE = 0.2;
/** Members after this entry on the ring that it probes in each interval, so that each member has as many observers. */
export const RING_PROBES = 2;
/** Members that are asked to probe one that did not answer, in case only the direct path fails. */
export const INDIRECT_PROBERS = 3;
/** Members that are sent the pending claims in one round of gossip. */
export const GOSSIP_FANOUT = 3;
/** Rounds in which an entry passes a new claim on; what a member misses, the comparison of views repairs. */
export const GOSSIP_ROUNDS = 3;
/** Pause before a round of gossip, so that claims that arrive together share a datagram, in milliseconds. */
export const GOSSIP_PAUSE_MILLIS = 60;
/** Time in which a new claim reaches nearly all entries, in milliseconds; several rounds of gossip. */
export const GOSSIP_SPREAD_MILLIS = 400;
/** Claims in one datagram; together they stay below the MTU of an Ethernet link. */
export const CLAIMS_PER_DATAGRAM = 12;
/** Time after which a dead member or one that left is forgotten, in milliseconds; until then older claims cannot revive it. */
export const FORGET_MILLIS = 600_000;
/** Largest factor by which an entry lengthens its timeouts while it is itself slow. */
export const MAX_SLOWNESS = 4;
