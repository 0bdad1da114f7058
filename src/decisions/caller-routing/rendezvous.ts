import {hash} from 'node:crypto';

/** Hex digits of the digest that make a score; 12 digits are exact in a double. */
const SCORE_DIGITS = 12;

/** Score of a node for a key: the same everywhere, uniform, and independent between nodes. */
export function scoreNode(key: string, node: string): number {
	return Number.parseInt(hash('sha256', `${key}\0${node}`).slice(0, SCORE_DIGITS), 16);
}

/** Something with an id in a failure domain. */
export type DomainNode = Readonly<{id: string; failureDomain: string}>;

/** Orders nodes by their score for a key, highest first. */
export function rankNodes<T extends DomainNode>(key: string, nodes: readonly T[]): readonly T[] {
	return nodes
		.map(node => ({node, score: scoreNode(key, node.id)}))
		.toSorted((left, right) => right.score - left.score)
		.map(item => item.node);
}

/**
 * Takes `count` of the ranked nodes such that each run of as many nodes as there are failure domains names each domain once,
 * for as long as each has nodes left. The first node stays first, and a longer list starts with the shorter one.
 */
export function spreadOverDomains<T extends DomainNode>(ranked: readonly T[], count: number): readonly T[] {
	const taken: T[] = [];
	let rest = ranked;
	while (rest.length > 0 && taken.length < count) {
		const domains = new Set<string>();
		const round: T[] = [];
		const later: T[] = [];
		for (const node of rest) {
			(domains.has(node.failureDomain) ? later : round).push(node);
			domains.add(node.failureDomain);
		}

		taken.push(...round);
		rest = later;
	}

	return taken.slice(0, count);
}
