/**
 * `npm run bench:weigh -- knowledge`: compares strategies to share the endpoints' load, in virtual time, for a data centre of
 * daemons in front of endpoints that batch requests up to a limit and queue the rest. Reports the time that requests
 * wait, also with perfect knowledge of the load, and the bytes that a daemon sends.
 */
import {encodeMessage} from '../../peer/message/message-codec.js';
import {packedUpdateBytes} from '../../peer/message/packed-updates.js';
import {seededRandom} from '../../peer/random/seeded-random.js';

/**
 * A strategy to share load and choose an endpoint: perfect knowledge; reports from all daemons to all; reports within the
 * cell only; a query to the owners of two endpoints for each request; none. `all` and `cell` choose the least loaded
 * endpoint, `all-two` and `cell-two` the less loaded of two random ones.
 */
export type KnowledgeStrategy = 'perfect' | 'all' | 'all-two' | 'cell' | 'cell-two' | 'ask-two' | 'none';

const targetEndpointsPerDaemon = 16;
const slots = 16;
const cellDaemons = 8;
const busyShare = 0.85;
const serviceMilliseconds = 4000;
const longShare = 0.05;
const longFactor = 8;
const warmUpMilliseconds = 30_000;
const durationMilliseconds = 60_000;
const stepMilliseconds = 10;

/** Number of daemons and endpoints, and the interval of load reports in each strategy (0: no reports). */
export type KnowledgeSize = {
	daemons: number;
	endpoints: number;
	publishIntervalMilliseconds: Record<KnowledgeStrategy, number>;
};

/** Half of a data centre of the target size. */
export const targetSize: KnowledgeSize = {
	daemons: 48,
	endpoints: 768,
	publishIntervalMilliseconds: {
		perfect: 0, all: 1000, 'all-two': 1000, cell: 1600, 'cell-two': 1600, 'ask-two': 1000, none: 0,
	},
};

/** The larger of the two present deployments; all its daemons are in one cell. */
export const todaySize: KnowledgeSize = {
	daemons: 18,
	endpoints: 17,
	publishIntervalMilliseconds: {
		perfect: 0, all: 500, 'all-two': 500, cell: 500, 'cell-two': 500, 'ask-two': 500, none: 0,
	},
};

/** The waiting times with one strategy. */
export type KnowledgeCost = {
	meanWaitMilliseconds: number;
	lateWaitMilliseconds: number;
	/** Share of requests that waited for a slot. */
	waitedShare: number;
};

type Endpoint = {ends: number[]; queue: Array<{arrivedAt: number; length: number}>};

/**
 * Simulates one strategy.
 *
 * @param strategy - The strategy.
 * @param size - The deployment.
 * @param seed - Seed of all random choices.
 * @returns Mean and 95th percentile of the wait, and the share of requests that waited.
 */
export function playKnowledge(strategy: KnowledgeStrategy, size: KnowledgeSize, seed: number): KnowledgeCost {
	const random = seededRandom(seed);
	const publishInterval = size.publishIntervalMilliseconds[strategy];
	const endpoints: Endpoint[] = Array.from({length: size.endpoints}, () => ({ends: [], queue: []}));
	const reported = endpoints.map(() => 0);
	const sent = Array.from({length: size.daemons}, () => new Map<number, number>());
	const meanService = serviceMilliseconds * (1 + (longShare * (longFactor - 1)));
	const arrivalsPerStep = endpoints.length * slots * busyShare * stepMilliseconds / meanService;
	const waits: number[] = [];
	let pendingArrivals = 0;
	for (let now = 0; now < warmUpMilliseconds + durationMilliseconds; now += stepMilliseconds) {
		for (const [index, endpoint] of endpoints.entries()) {
			serve(endpoint, now, now > warmUpMilliseconds ? waits : []);
			if (publishInterval > 0 && (now + (index * 37 * stepMilliseconds)) % publishInterval === 0) {
				reported[index] = loadOf(endpoint);
				for (const sentByDaemon of sent) {
					sentByDaemon.delete(index);
				}
			}
		}

		for (pendingArrivals += arrivalsPerStep; pendingArrivals >= 1; pendingArrivals--) {
			const daemon = Math.floor(random() * size.daemons);
			const chosen = choose(strategy, {
				daemon, endpoints, reported, sent: sent[daemon]!, random,
			});
			sent[daemon]!.set(chosen, (sent[daemon]!.get(chosen) ?? 0) + 1);
			const length = -Math.log(1 - random()) * serviceMilliseconds * (random() < longShare ? longFactor : 1);
			endpoints[chosen]!.queue.push({arrivedAt: now, length});
		}
	}

	waits.sort((left, right) => left - right);
	return {
		meanWaitMilliseconds: waits.reduce((sum, wait) => sum + wait, 0) / waits.length,
		lateWaitMilliseconds: waits[Math.floor(waits.length * 0.95)]!,
		waitedShare: waits.filter(wait => wait > 2 * stepMilliseconds).length / waits.length,
	};
}

/** Returns the bytes a second that a daemon sends with a strategy, in a data centre of the target size. */
export function bytesOf(strategy: KnowledgeStrategy): number {
	const queryBytes = encodeMessage({kind: 'ask-changes', after: 1}).length;
	const reportBytes = encodeMessage({
		kind: 'loads', loads: [], updates: [], age: 1000,
	}).length;
	const requestsPerSecond = 16;
	switch (strategy) {
		case 'all':
		case 'all-two': {
			return ((targetEndpointsPerDaemon * packedUpdateBytes) + reportBytes) * 94 * 1000 / targetSize.publishIntervalMilliseconds.all;
		}

		case 'cell':
		case 'cell-two': {
			return ((targetEndpointsPerDaemon * packedUpdateBytes) + reportBytes) * (cellDaemons - 1) * 1000 / targetSize.publishIntervalMilliseconds.cell;
		}

		case 'ask-two': {
			return requestsPerSecond * 2 * (queryBytes + reportBytes + packedUpdateBytes);
		}

		case 'perfect':
		case 'none': {
			return 0;
		}
	}
}

type Choice = {daemon: number; endpoints: readonly Endpoint[]; reported: readonly number[]; sent: ReadonlyMap<number, number>; random: () => number};

function choose(strategy: KnowledgeStrategy, choice: Choice): number {
	const {daemon, endpoints, reported, sent, random} = choice;
	const estimatedLoad = (index: number): number => strategy === 'perfect' ? loadOf(endpoints[index]!) : reported[index]! + (sent.get(index) ?? 0);
	const isCell = strategy === 'cell' || strategy === 'cell-two';
	const cellEndpoints = cellDaemons * targetEndpointsPerDaemon;
	const isSplitIntoCells = isCell && endpoints.length > cellEndpoints;
	const first = isSplitIntoCells ? Math.floor(daemon / cellDaemons) * cellEndpoints : 0;
	const count = isSplitIntoCells ? cellEndpoints : endpoints.length;
	const randomEndpoint = (): number => first + Math.floor(random() * count);
	if (strategy === 'none') {
		return randomEndpoint();
	}

	if (strategy === 'ask-two' || strategy === 'all-two' || strategy === 'cell-two') {
		const [left, right] = [randomEndpoint(), randomEndpoint()];
		return estimatedLoad(left) <= estimatedLoad(right) ? left : right;
	}

	return leastLoadedFrom(first, count, Math.floor(random() * count), estimatedLoad);
}

/** Returns the least loaded endpoint, searched from a random offset, so that equally loaded ones are chosen equally often. */
function leastLoadedFrom(first: number, count: number, offset: number, estimatedLoad: (index: number) => number): number {
	let best = first + offset;
	for (let step = 1; step < count; step++) {
		const index = first + ((offset + step) % count);
		if (estimatedLoad(index) < estimatedLoad(best)) {
			best = index;
		}
	}

	return best;
}

function loadOf(endpoint: Endpoint): number {
	return endpoint.ends.length + endpoint.queue.length;
}

function serve(endpoint: Endpoint, now: number, waits: number[]): void {
	endpoint.ends = endpoint.ends.filter(end => end > now);
	while (endpoint.ends.length < slots && endpoint.queue.length > 0) {
		const {arrivedAt, length} = endpoint.queue.shift()!;
		waits.push(now - arrivedAt);
		endpoint.ends.push(now + length);
	}
}
