/**
 * Checks over real gateway processes that an endpoint which names a limit gets no more requests than it allows, summed over
 * all instances, that it still gets some, and that the limit ends when its answers no longer name it.
 *
 * Beside this, endpoints crash and come back under another name at the same address, reset connections, reject requests and
 * cut streams that are then resumed; instances are killed and started again; data centres are cut off from the store; the
 * coordinator is frozen for a moment again and again. In some runs rejections do not name the limit, and answers take long.
 *
 * Only a restart or a freeze of an instance excuses what it sends. A store that is unavailable, a coordinator that does not
 * answer and a rejection without the header do not.
 */
import {type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {hashOf} from '../shared/hash-of.js';
import {Choices} from './choices.js';
import {deskDeployment, startDesk} from './desk-deployment.js';
import {answerUnreliably, DeskTraffic} from './desk-traffic.js';
import {type DeploymentEndpoint, type Arrival, type EndpointScript} from './deployment-endpoint.js';
import {
	contactMilliseconds, type GatewayDeployment, type GatewayInstance,
} from './gateway-deployment.js';

export type LimitedEndpointsOptions = {
	seed: number;
	/** Second byte of the loopback addresses. */
	network: number;
	milliseconds: number;
	/** Conditions that are not drawn from the seed. */
	conditions?: Partial<Conditions>;
};

/** What one endpoint got while it named its limit. */
export type LimitedEndpointReport = {
	endpoint: string;
	limitPerSecond: number;
	/** Most arrivals in any window, through instances in touch that it had told. */
	most: number;
	allowed: number;
	/** All arrivals from the contact time after it first named the limit, a second. */
	perSecond: number;
};

export type LimitedEndpointsReport = {
	seed: number;
	conditions: Conditions;
	limited: LimitedEndpointReport[];
	/** Endpoints that got fewer than half as many requests as the others once their limit had ended. */
	forgotten: string[];
	requests: number;
	served: number;
	/** The instances that granted permits, by the term of the coordinator. */
	grantors: Record<string, string[]>;
};

const windowMilliseconds = 4000;
const allowedRatio = 1.5;
const allowedExtra = 5;
/** An instance that has passed on an answer with the limit this long ago has to keep to it. */
const toldMilliseconds = 500;
/** How long before the end of the run the limits end. */
const freeMilliseconds = 5000;

/** How often the coordinator is frozen, and for how long. */
type Freezes = {everyMilliseconds: number; forMilliseconds: number};

/** What a run is like, drawn from its seed. */
type Conditions = {
	/** Whether rejections name the limit as other answers do. */
	doRejectionsName: boolean;
	rejectionPercent: number;
	/** Longest time to the head of an answer. */
	answerMilliseconds: number;
	/** Endpoints that name a limit. */
	limitedEndpoints: number;
	/** Lowest and highest limit, in tenths of a request a second. */
	limitTenths: readonly [minimum: number, maximum: number];
	coordinatorFreezes: Freezes | undefined;
	requestsPerSecond: number;
};

type Limit = {limitPerSecond: number; namedAt: number; toldAt: Map<string, number>};

export async function runLimitedEndpoints({seed, network, milliseconds, conditions}: LimitedEndpointsOptions): Promise<LimitedEndpointsReport> {
	const run = new LimitedEndpointsRun(seed, network, conditions);
	try {
		await run.start();
		return await run.play(milliseconds);
	} finally {
		await run.stop();
	}
}

class LimitedEndpointsRun implements EndpointScript {
	readonly #seed: number;
	readonly #choices: Choices;
	readonly #conditions: Conditions;
	readonly #deployment: GatewayDeployment;
	readonly #traffic: DeskTraffic;
	#endpoints: DeploymentEndpoint[] = [];
	readonly #limits = new Map<string, Limit>();
	readonly #arrivals: Array<Arrival & {isExcused: boolean}> = [];
	#limitedPlaces: ReadonlySet<DeploymentEndpoint> = new Set();
	#endsAt = 0;
	#limitsEndAt = 0;

	constructor(seed: number, network: number, conditions: Partial<Conditions> = {}) {
		this.#seed = seed;
		this.#choices = Choices.fromSeed(hashOf(`limited endpoints ${seed}`));
		this.#conditions = {...drawConditions(this.#choices), ...conditions};
		this.#deployment = deskDeployment(network);
		this.#traffic = new DeskTraffic(this.#deployment, this.#choices);
	}

	async start(): Promise<void> {
		this.#endpoints = await startDesk(this.#deployment, this);
	}

	async play(milliseconds: number): Promise<LimitedEndpointsReport> {
		this.#endsAt = performance.now() + milliseconds;
		this.#limitsEndAt = this.#endsAt - freeMilliseconds;
		const sending = this.#traffic.sendUntil(this.#endsAt, this.#conditions.requestsPerSecond);
		const disturbing = this.#disturb();
		const freezing = this.#freezeCoordinator();
		await delay(1000);
		this.#limitedPlaces = new Set(this.#endpoints.slice(0, this.#conditions.limitedEndpoints));
		await Promise.all([sending, disturbing, freezing]);
		return {
			seed: this.#seed,
			conditions: this.#conditions,
			limited: [...this.#limits].map(([endpoint, limit]) => this.#reportOf(endpoint, limit)),
			forgotten: this.#forgotten(),
			requests: this.#traffic.requests,
			served: this.#traffic.served,
			grantors: this.#grantors(),
		};
	}

	async stop(): Promise<void> {
		for (const endpoint of this.#endpoints) {
			endpoint.close();
		}

		await this.#deployment.stop();
	}

	arrived(arrival: Arrival): void {
		const instance = this.#deployment.instances.find(({name}) => name === arrival.instance);
		const interruptedAt = instance?.interruptions.at(-1) ?? Number.NEGATIVE_INFINITY;
		const isExcused = instance === undefined || performance.now() - interruptedAt <= contactMilliseconds;
		this.#arrivals.push({...arrival, isExcused});
	}

	headers(endpoint: DeploymentEndpoint, instance: string): Record<string, string> {
		if (!this.#limitedPlaces.has(endpoint) || performance.now() > this.#limitsEndAt) {
			return {};
		}

		const now = performance.now();
		const limit = this.#limits.get(endpoint.name) ?? {limitPerSecond: this.#choices.between(...this.#conditions.limitTenths) / 10, namedAt: now, toldAt: new Map<string, number>()};
		this.#limits.set(endpoint.name, limit);
		limit.toldAt.set(instance, limit.toldAt.get(instance) ?? now);
		return {'server-limit': limit.limitPerSecond.toFixed(1)};
	}

	async run(endpoint: DeploymentEndpoint, arrival: Arrival, response: ServerResponse): Promise<void> {
		await answerUnreliably(endpoint, arrival, response, {
			...this.#conditions,
			choices: this.#choices,
			rejectionHeaders: () => this.#conditions.doRejectionsName ? this.headers(endpoint, arrival.instance) : {},
		});
	}

	async #freezeCoordinator(): Promise<void> {
		const {coordinatorFreezes: freezes} = this.#conditions;
		if (freezes === undefined) {
			return;
		}

		while (performance.now() < this.#limitsEndAt) {
			const coordinator = this.#deployment.coordinator();
			if (coordinator !== undefined) {
				await this.#deployment.freeze(coordinator, freezes.forMilliseconds);
			}

			await delay(freezes.everyMilliseconds - freezes.forMilliseconds);
		}
	}

	async #disturb(): Promise<void> {
		const disturbances: Array<() => Promise<void>> = [
			async () => this.#anyEndpoint().crash(this.#choices.between(400, 1200)),
			async () => {
				this.#anyEndpoint().resetConnections(0.5);
			},
			async () => this.#deployment.restart(this.#anyInstance()),
			async () => this.#deployment.cutStore(this.#choices.oneOf(this.#deployment.dataCentres), this.#choices.between(500, 3000)),
		];
		const running: Array<Promise<void>> = [];
		while (performance.now() < this.#endsAt - freeMilliseconds) {
			await delay(this.#choices.between(1000, 5000));
			running.push(this.#choices.oneOf(disturbances)());
		}

		await Promise.all(running);
	}

	#reportOf(endpoint: string, {limitPerSecond, namedAt, toldAt}: Limit): LimitedEndpointReport {
		const later = this.#arrivals.filter(({endpoint: name, at}) => name === endpoint && at > namedAt + contactMilliseconds && at < this.#limitsEndAt);
		const counted = later.filter(({at, instance, isExcused}) => !isExcused && at - (toldAt.get(instance) ?? Number.POSITIVE_INFINITY) >= toldMilliseconds).map(({at}) => at);
		const most = Math.max(0, ...counted.map(start => counted.filter(at => at >= start && at < start + windowMilliseconds).length));
		const seconds = (this.#limitsEndAt - namedAt - contactMilliseconds) / 1000;
		return {
			endpoint,
			limitPerSecond,
			most,
			allowed: (allowedRatio * limitPerSecond * windowMilliseconds / 1000) + allowedExtra,
			perSecond: seconds > 0 ? Math.round(100 * later.length / seconds) / 100 : 0,
		};
	}

	/** Looks at the last seconds only: some requests have to show that the limit has ended. */
	#forgotten(): string[] {
		const since = this.#endsAt - (freeMilliseconds / 2);
		const counts = this.#endpoints.filter(({isUp}) => isUp).map(({name}) => ({name, count: this.#arrivals.filter(({endpoint, at}) => endpoint === name && at > since).length}));
		const mean = counts.reduce((sum, {count}) => sum + count, 0) / counts.length;
		return counts.filter(({name, count}) => this.#limits.has(name) && count < mean / 2).map(({name}) => name);
	}

	#grantors(): Record<string, string[]> {
		const grantors: Record<string, string[]> = {};
		for (const {instance, term} of this.#deployment.lines().filter(({kind}) => kind === 'permit-granted')) {
			const key = JSON.stringify(term ?? null);
			grantors[key] = [...new Set([...(grantors[key] ?? []), instance as string])];
		}

		return grantors;
	}

	#anyInstance(): GatewayInstance {
		return this.#choices.oneOf(this.#deployment.instances);
	}

	#anyEndpoint(): DeploymentEndpoint {
		return this.#choices.oneOf(this.#endpoints);
	}
}

function drawConditions(choices: Choices): Conditions {
	return {
		doRejectionsName: choices.chance(50),
		rejectionPercent: choices.oneOf([5, 10]),
		answerMilliseconds: choices.oneOf([60, 60, 800]),
		limitedEndpoints: choices.oneOf([1, 2, 3, 6]),
		limitTenths: [6, choices.oneOf([12, 30, 50])],
		coordinatorFreezes: choices.oneOf([
			undefined, {everyMilliseconds: 600, forMilliseconds: 300}, {everyMilliseconds: 2000, forMilliseconds: 1200},
		]),
		requestsPerSecond: choices.oneOf([40, 80]),
	};
}
