/** Plays a burst of requests over several instances in virtual time, and reports what callers got. */
import {seededRandom} from '../../peer/random/seeded-random.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {testEndpoint} from '../../gateway/testing/test-endpoint.js';
import {type WaitingOrder} from '../waiting/waiting-order.js';
import {ContendedEndpoint} from './contended-endpoint.js';
import {ContendedInstance} from './contended-instance.js';
import {ContendedCoordinator, ContendedShares, type ShareWay} from './contended-shares.js';
import {EventQueue} from './event-queue.js';
import {testPromptRequest} from './test-prompt-request.js';

/** A kind of request. `minTokens` and `maxTokens` are 0 for plain calls. */
export type ContendedKind = {
	name: string; rank: number; perSecond: number; objectiveMilliseconds: number; timeoutMilliseconds: number; callerMilliseconds: number; minTokens: number; maxTokens: number;
};

export type Burst = {
	kinds: readonly ContendedKind[];
	instances: number;
	endpoints: number;
	slots: number;
	/** The order of the queue; absent where requests without room are refused at once. */
	order: WaitingOrder | undefined;
	seed: number;
	/** Part of each prompt that a quarter of the engines has cached; 0 if absent. */
	cachedShare?: number;
	/** How old the coordinator's knowledge may be. */
	snapshotMilliseconds?: number;
	/** From when on the coordinator answers no query. */
	coordinatorLostAt?: number;
	/** How often workspaces call: in a burst, and at other times; absent where one of six sends much of the burst. */
	mix?: WorkspaceMix;
	/** How the calls of workspaces beyond their share are chosen; absent where workspaces have no shares. */
	shares?: ShareWay;
	/** From when on a new coordinator without counts answers, after the loss of the first one. */
	coordinatorBackAt?: number;
	/** How late the coordinator's responses about shares arrive. */
	lateMilliseconds?: number;
	/** The instances that neither report nor receive anything during the burst; the first ones. */
	cutOffInstances?: number;
	/** When one of the endpoints leaves. */
	endpointLostAt?: number;
	/** When one of the instances is replaced by one that has just started. */
	restartAt?: number;
};

/** Part of the calls of each workspace. */
export type WorkspaceMix = Record<'usual' | 'burst', Readonly<Record<string, number>>>;

/** What became of one caller's request. */
export type CallerResult = {
	kind: ContendedKind;
	at: number;
	isBurst: boolean;
	workspace: string;
	work: number;
	refusals: number;
	/** How many of the refusals were for the workspace's share. */
	shareRefusals: number;
	heldMilliseconds: number;
	waitedMilliseconds: number;
	answeredAfter: number | undefined;
};

type World = {burst: Burst; events: EventQueue; instances: readonly ContendedInstance[]; random: () => number};

/** The burst, in milliseconds and as a factor on the rates. */
const burstFrom = 3000;
const burstUntil = 8000;
const burstFactor = 2.4;
const until = 12_000;
const callMilliseconds = 69;
const tokensPerMillisecond = 101;
const queryMilliseconds = 300;
/** One of the workspaces sends this share of the requests of a burst. */
const largeShare = 0.4;
const workspaces = ['large', 'one', 'two', 'three', 'four', 'five'];

/** Plays a burst; returns the results of all callers. */
export function playBurst(burst: Burst): CallerResult[] {
	const random = seededRandom(burst.seed);
	const events = new EventQueue();
	const weightVersions = new Map([['lease', 1]]);
	const endpoints = Array.from({length: burst.endpoints}, (_, index) => new ContendedEndpoint(testEndpoint({name: `e${index}`, slots: burst.slots, weightVersions}), events));
	const createInstance = (): ContendedInstance => new ContendedInstance(events, endpoints, burst.order, burst.shares && new ContendedShares(burst.shares));
	const instances = Array.from({length: burst.instances}, createInstance);
	startViews(burst, events, instances, random);
	startShares(burst, events, instances, endpoints);
	if (burst.endpointLostAt !== undefined) {
		events.at(burst.endpointLostAt, () => {
			endpoints.pop();
		});
	}

	if (burst.restartAt !== undefined) {
		events.at(burst.restartAt, () => {
			instances[0] = createInstance();
		});
	}

	const results: CallerResult[] = [];
	for (const kind of burst.kinds) {
		for (let at = 0; at < until;) {
			const isBurst = at >= burstFrom && at < burstUntil;
			at += -1000 * Math.log(1 - random()) / (kind.perSecond * (isBurst ? burstFactor : 1));
			const workspace = drawWorkspace(burst.mix, isBurst, random);
			const result: CallerResult = {
				kind, at, isBurst, workspace, work: 0, refusals: 0, shareRefusals: 0, heldMilliseconds: 0, waitedMilliseconds: 0, answeredAfter: undefined,
			};
			results.push(result);
			const size = random();
			const id = `${kind.name}-${results.length}`;
			events.at(at, () => {
				call({
					burst, events, instances, random,
				}, result, {id, size, startedAt: events.now});
			});
		}
	}

	events.run(until + 15_000);
	return results;
}

function drawWorkspace(mix: WorkspaceMix | undefined, isBurst: boolean, random: () => number): string {
	if (mix === undefined) {
		return isBurst && random() < largeShare ? 'large' : workspaces[Math.floor(workspaces.length * random())]!;
	}

	const parts = Object.entries(mix[isBurst ? 'burst' : 'usual']);
	let left = random() * parts.reduce((sum, [, part]) => sum + part, 0);
	return parts.find(([, part]) => {
		left -= part;
		return left < 0;
	})?.[0] ?? parts[0]![0];
}

/** All instances exchange counts and fractions with the coordinator at an interval, each at a time of its own. */
function startShares(burst: Burst, events: EventQueue, instances: readonly ContendedInstance[], endpoints: readonly ContendedEndpoint[]): void {
	if (burst.shares === undefined) {
		return;
	}

	const {coordinatorLostAt = Number.POSITIVE_INFINITY, coordinatorBackAt = Number.POSITIVE_INFINITY, cutOffInstances = 0} = burst;
	const coordinator = new ContendedCoordinator(events, () => endpoints.reduce((sum, {record}) => sum + record.slots, 0));
	coordinator.lateMilliseconds = burst.lateMilliseconds ?? 0;
	const random = seededRandom(burst.seed + 1000);
	for (const index of instances.keys()) {
		for (let at = queryMilliseconds * random(); at < until; at += queryMilliseconds) {
			const isCutOff = index < cutOffInstances && at >= burstFrom && at < burstUntil;
			if (!isCutOff && (at < coordinatorLostAt || at >= coordinatorBackAt)) {
				events.at(at, () => {
					coordinator.exchange(instances[index]!.shares!);
				});
			}
		}
	}

	if (coordinatorLostAt < until) {
		events.at(coordinatorLostAt, () => {
			coordinator.replace();
		});
	}
}

/** All instances learn the loads at an interval, each at a time of its own. */
function startViews(burst: Burst, events: EventQueue, instances: readonly ContendedInstance[], random: () => number): void {
	const {
		snapshotMilliseconds = 20, coordinatorLostAt = Number.POSITIVE_INFINITY, coordinatorBackAt = Number.POSITIVE_INFINITY, cutOffInstances = 0,
	} = burst;
	const takeSnapshots = (): void => {
		for (const instance of instances) {
			instance.takeSnapshot();
		}

		const next = events.now + snapshotMilliseconds;
		if (next < until && (next < coordinatorLostAt || next >= coordinatorBackAt)) {
			events.at(next, takeSnapshots);
		}
	};

	events.at(0, takeSnapshots);
	if (coordinatorBackAt < until) {
		events.at(coordinatorBackAt, takeSnapshots);
	}

	for (const index of instances.keys()) {
		for (let at = queryMilliseconds * random(); at < until; at += queryMilliseconds) {
			if (index < cutOffInstances && at >= burstFrom && at < burstUntil) {
				continue;
			}

			events.at(at, () => {
				instances[index]!.query();
			});
		}
	}
}

/** Sends a request to a random instance; the caller returns once if `Retry-After` is within a third of its time. */
function call(world: World, result: CallerResult, {id, size, startedAt}: {id: string; size: number; startedAt: number}): void {
	const {burst: {cachedShare = 0, endpoints}, events, instances, random} = world;
	const {kind, workspace} = result;
	const {now} = events;
	const isCall = kind.maxTokens === 0;
	const tokens = Math.round(kind.minTokens + (size * (kind.maxTokens - kind.minTokens)));
	const prompt = isCall
		? undefined
		: {
			model: 'lease', promptTokens: tokens, maxOutputTokens: 20, blocks: [{id, tokens}],
		};
	const firstCached = Math.floor(size * 1e6) % endpoints;
	const isCachedAt = (name: string): boolean => (Number(name.slice(1)) - firstCached + endpoints) % endpoints < endpoints / 4;
	const callerDeadlineAt = startedAt + kind.callerMilliseconds;
	const deadlineAt = Math.min(callerDeadlineAt, now + kind.timeoutMilliseconds);
	result.work = isCall ? 1 : tokens;
	const request = {
		placement: {
			...testPromptRequest({
				id: `${id}-${result.refusals}`, rank: kind.rank, objectiveMilliseconds: kind.objectiveMilliseconds, prompt,
				engine: isCall
					? undefined
					: {
						slots: 64, capacityTokens: 130_364, bytesPerToken: 327_680, linkMegabitsPerSecond: 260_000, models: ['lease'],
					},
			}),
			cachedTokensAt: ({name}: EndpointRecord) => [isCachedAt(name) ? Math.floor(cachedShare * tokens) : 0],
			attempted: new Set<string>(),
		},
		waiting: {
			id: `${id}-${result.refusals}`, lane: 'lane', service: 'service', isPrompt: !isCall, rank: kind.rank, workspace, work: result.work, bytes: 1000,
			objectiveMilliseconds: kind.objectiveMilliseconds, objectiveAt: now + kind.objectiveMilliseconds, deadlineAt,
		},
		workMilliseconds: isCall ? callMilliseconds * (0.7 + (0.6 * size)) : tokens / tokensPerMillisecond,
		maxAttempts: 2,
		waitedMilliseconds: 0,
		callerDeadlineAt,
		answered() {
			result.answeredAfter = events.now <= deadlineAt ? events.now - startedAt : undefined;
			result.waitedMilliseconds += request.waitedMilliseconds;
		},
		refused(retryAfterMilliseconds: number, isByShare: boolean) {
			result.refusals++;
			result.shareRefusals += isByShare ? 1 : 0;
			result.heldMilliseconds += events.now - now;
			if (result.refusals === 1 && retryAfterMilliseconds <= (callerDeadlineAt - events.now) / 3) {
				events.at(events.now + retryAfterMilliseconds, () => {
					call(world, result, {id, size, startedAt});
				});
			}
		},
	};
	instances[Math.floor(instances.length * random())]!.receive(request);
}
