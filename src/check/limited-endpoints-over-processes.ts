/**
 * Checks over real gateway processes that an endpoint which names a limit gets no more requests than it allows, summed over
 * all instances, that it still gets some, and that the limit ends when its answers no longer name it.
 *
 * Beside this, endpoints crash and come back under another name at the same address, reset connections, reject requests and
 * cut streams that are then resumed; instances are killed and started again; data centres are cut off from the store.
 */
import {type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {hashOf} from '../shared/hash-of.js';
import {Choices} from './choices.js';
import {deskDeployment, deskPaths, startDesk} from './desk-deployment.js';
import {type DeploymentEndpoint, type Arrival, type EndpointScript} from './deployment-endpoint.js';
import {
	contactMilliseconds, deploymentWireNames as names, type GatewayDeployment, type GatewayInstance,
} from './gateway-deployment.js';

export type LimitedEndpointsOptions = {
	seed: number;
	/** Second byte of the loopback addresses. */
	network: number;
	milliseconds: number;
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
	limited: LimitedEndpointReport[];
	/** Endpoints that got fewer than half as many requests as the others once their limit had ended. */
	forgotten: string[];
	requests: number;
	served: number;
};

const windowMilliseconds = 4000;
const allowedRatio = 1.5;
const allowedExtra = 5;
/** An instance that has passed on an answer with the limit this long ago has to keep to it. */
const toldMilliseconds = 500;
const requestsPerSecond = 40;
/** How long before the end of the run the limits end. */
const freeMilliseconds = 5000;

type Limit = {limitPerSecond: number; namedAt: number; toldAt: Map<string, number>};

export async function runLimitedEndpoints({seed, network, milliseconds}: LimitedEndpointsOptions): Promise<LimitedEndpointsReport> {
	const run = new LimitedEndpointsRun(seed, network);
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
	readonly #deployment: GatewayDeployment;
	#endpoints: DeploymentEndpoint[] = [];
	readonly #limits = new Map<string, Limit>();
	readonly #arrivals: Array<Arrival & {isInTouch: boolean}> = [];
	#limitedPlaces: ReadonlySet<DeploymentEndpoint> = new Set();
	#endsAt = 0;
	#limitsEndAt = 0;
	#requests = 0;
	#served = 0;

	constructor(seed: number, network: number) {
		this.#seed = seed;
		this.#choices = Choices.fromSeed(hashOf(`limited endpoints ${seed}`));
		this.#deployment = deskDeployment(network);
	}

	async start(): Promise<void> {
		this.#endpoints = await startDesk(this.#deployment, this);
	}

	async play(milliseconds: number): Promise<LimitedEndpointsReport> {
		this.#endsAt = performance.now() + milliseconds;
		this.#limitsEndAt = this.#endsAt - freeMilliseconds;
		const sending = this.#sendAll();
		const disturbing = this.#disturb();
		await delay(1000);
		const limitedCount = this.#choices.between(1, 3);
		this.#limitedPlaces = new Set(this.#endpoints.slice(0, limitedCount));
		await Promise.all([sending, disturbing]);
		return {
			seed: this.#seed,
			limited: [...this.#limits].map(([endpoint, limit]) => this.#reportOf(endpoint, limit)),
			forgotten: this.#forgotten(),
			requests: this.#requests,
			served: this.#served,
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
		const isInTouch = instance !== undefined && performance.now() - instance.disturbedAt > contactMilliseconds;
		this.#arrivals.push({...arrival, isInTouch});
	}

	headers(endpoint: DeploymentEndpoint, instance: string): Record<string, string> {
		if (!this.#limitedPlaces.has(endpoint) || performance.now() > this.#limitsEndAt) {
			return {};
		}

		const now = performance.now();
		const limit = this.#limits.get(endpoint.name) ?? {limitPerSecond: this.#choices.between(6, 30) / 10, namedAt: now, toldAt: new Map<string, number>()};
		this.#limits.set(endpoint.name, limit);
		limit.toldAt.set(instance, limit.toldAt.get(instance) ?? now);
		return {'server-limit': limit.limitPerSecond.toFixed(1)};
	}

	async run(endpoint: DeploymentEndpoint, arrival: Arrival, response: ServerResponse): Promise<void> {
		await delay(this.#choices.between(5, 60));
		if (this.#choices.chance(5)) {
			response.writeHead(503, {[names.notExecuted]: '1', ...this.headers(endpoint, arrival.instance)});
			response.end();
			return;
		}

		if (this.#choices.chance(5)) {
			endpoint.begin(response, arrival);
			response.write('id: 1\ndata: piece 1\n\n', () => {
				response.destroy();
			});
			return;
		}

		await endpoint.answer(response, arrival, this.#choices.between(2, 25));
	}

	async #sendAll(): Promise<void> {
		const sent: Array<Promise<void>> = [];
		while (performance.now() < this.#endsAt) {
			sent.push(this.#send());
			await delay(1000 / requestsPerSecond);
		}

		await Promise.all(sent);
	}

	async #send(): Promise<void> {
		this.#requests++;
		const answer = await this.#deployment.send(this.#anyInstance(), {
			path: this.#choices.oneOf(deskPaths), body: `request ${this.#requests}`, deadlineMilliseconds: 3000,
		});
		this.#served += answer.status === 200 && answer.isWhole ? 1 : 0;
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
		const counted = later.filter(({at, instance, isInTouch}) => isInTouch && at - (toldAt.get(instance) ?? Number.POSITIVE_INFINITY) >= toldMilliseconds).map(({at}) => at);
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

	#anyInstance(): GatewayInstance {
		return this.#choices.oneOf(this.#deployment.instances);
	}

	#anyEndpoint(): DeploymentEndpoint {
		return this.#choices.oneOf(this.#endpoints);
	}
}
