/**
 * Checks over real gateway processes that instances act on what endpoints say in their answers: one that leaves gets no more
 * requests from an instance that it has told, and one that asks for a rest gets none from that instance until the rest is over.
 *
 * Rows in the store stay ready all the while. Beside this, data centres are cut off from the store, instances are killed or
 * frozen, and endpoints reset connections and cut streams that are then resumed. Only a restart or a freeze of an instance
 * excuses what it sends.
 */
import {type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {hashOf} from '../shared/hash-of.js';
import {Choices} from './choices.js';
import {deskDeployment, startDesk} from './desk-deployment.js';
import {answerUnreliably, DeskTraffic} from './desk-traffic.js';
import {type Arrival, type DeploymentEndpoint, type EndpointScript} from './deployment-endpoint.js';
import {
	type CallerAnswer, deploymentWireNames as names, type GatewayDeployment, type GatewayInstance,
} from './gateway-deployment.js';

/** `leaving`: the endpoint says so in every answer. `rest`: it rejects all requests and asks for a rest. */
export type Announcement = 'leaving' | 'rest';

export type AnnouncingEndpointsOptions = {
	seed: number;
	/** Second byte of the loopback addresses. */
	network: number;
	milliseconds: number;
	announcement: Announcement;
};

export type AnnouncingEndpointsReport = {
	seed: number;
	announcement: Announcement;
	/** How many of the endpoints announce it. */
	announcing: number;
	/** Times at which an endpoint has told an instance. */
	told: number;
	/** Arrivals at a leaving endpoint from an instance that had been told too long ago. */
	late: number;
	/** Most arrivals at an endpoint from one instance within a rest that it had asked for. */
	mostInRest: number;
	/** Longest time to a refusal that says that the request did not run, in milliseconds. */
	slowestRefusal: number;
	/** Refusals whose `Retry-After` is absent. */
	refusalsWithoutRetry: number;
	requests: number;
	served: number;
};

/** An instance that has passed on an answer of a leaving endpoint this long ago sends it nothing. */
const drainMilliseconds = 2000;
/** Requests that arrive this long after a rest was asked for may have been under way. */
const restNoticeMilliseconds = 500;
const requestsPerSecond = 60;
const freezeMilliseconds = 300;
/** How long the endpoints behave before they announce anything. */
const calmMilliseconds = 2000;

/** What an endpoint has told an instance, in milliseconds of `performance.now()`. */
type Told = {endpoint: string; instance: string; at: number; restMilliseconds: number};

export async function runAnnouncingEndpoints(options: AnnouncingEndpointsOptions): Promise<AnnouncingEndpointsReport> {
	const run = new AnnouncingEndpointsRun(options);
	try {
		await run.start();
		return await run.play();
	} finally {
		await run.stop();
	}
}

class AnnouncingEndpointsRun implements EndpointScript {
	readonly #options: AnnouncingEndpointsOptions;
	readonly #choices: Choices;
	readonly #deployment: GatewayDeployment;
	readonly #traffic: DeskTraffic;
	readonly #announcingCount: number;
	#endpoints: DeploymentEndpoint[] = [];
	#announcing: ReadonlySet<DeploymentEndpoint> = new Set();
	readonly #arrivals: Arrival[] = [];
	readonly #told: Told[] = [];
	#endsAt = 0;
	#slowestRefusal = 0;
	#refusalsWithoutRetry = 0;

	constructor(options: AnnouncingEndpointsOptions) {
		this.#options = options;
		this.#choices = Choices.fromSeed(hashOf(`announcing endpoints ${options.seed}`));
		this.#announcingCount = this.#choices.oneOf(options.announcement === 'rest' ? [2, 3, 6] : [2, 3]);
		this.#deployment = deskDeployment(options.network);
		this.#traffic = new DeskTraffic(this.#deployment, this.#choices, (answer, instance, sentAt) => {
			this.#noteRefusal(answer, instance, sentAt);
		});
	}

	async start(): Promise<void> {
		this.#endpoints = await startDesk(this.#deployment, this);
	}

	async play(): Promise<AnnouncingEndpointsReport> {
		this.#endsAt = performance.now() + this.#options.milliseconds;
		const sending = this.#traffic.sendUntil(this.#endsAt, requestsPerSecond);
		const disturbing = this.#disturb();
		await delay(calmMilliseconds);
		this.#announcing = new Set(this.#endpoints.slice(0, this.#announcingCount));
		await Promise.all([sending, disturbing]);
		return {
			seed: this.#options.seed,
			announcement: this.#options.announcement,
			announcing: this.#announcingCount,
			told: this.#told.length,
			late: this.#countLate(),
			mostInRest: this.#findMostInRest(),
			slowestRefusal: Math.round(this.#slowestRefusal),
			refusalsWithoutRetry: this.#refusalsWithoutRetry,
			requests: this.#traffic.requests,
			served: this.#traffic.served,
		};
	}

	async stop(): Promise<void> {
		for (const endpoint of this.#endpoints) {
			endpoint.close();
		}

		await this.#deployment.stop();
	}

	arrived(arrival: Arrival): void {
		this.#arrivals.push(arrival);
	}

	headers(endpoint: DeploymentEndpoint, instance: string): Record<string, string> {
		if (this.#options.announcement !== 'leaving' || !this.#announcing.has(endpoint)) {
			return {};
		}

		this.#note(endpoint, instance, 0);
		return {'server-leaving': '1'};
	}

	async run(endpoint: DeploymentEndpoint, arrival: Arrival, response: ServerResponse): Promise<void> {
		if (this.#options.announcement === 'rest' && this.#announcing.has(endpoint)) {
			const seconds = this.#choices.oneOf(['3', '2.5', '1']);
			this.#note(endpoint, arrival.instance, Number(seconds) * 1000);
			response.writeHead(503, {[names.notExecuted]: '1', 'retry-after': seconds});
			response.end();
			return;
		}

		await answerUnreliably(endpoint, arrival, response, {
			choices: this.#choices, rejectionPercent: 5, rejectionHeaders: () => this.headers(endpoint, arrival.instance), answerMilliseconds: 60,
		});
	}

	#note(endpoint: DeploymentEndpoint, instance: string, restMilliseconds: number): void {
		this.#told.push({
			endpoint: endpoint.name, instance, at: performance.now(), restMilliseconds,
		});
	}

	#noteRefusal({status, retryAfterSeconds}: CallerAnswer, instance: GatewayInstance, sentAt: number): void {
		const isSteady = (instance.interruptions.at(-1) ?? Number.NEGATIVE_INFINITY) < sentAt - drainMilliseconds;
		if (isSteady && (status === 429 || status === 503)) {
			this.#slowestRefusal = Math.max(this.#slowestRefusal, performance.now() - sentAt);
			this.#refusalsWithoutRetry += retryAfterSeconds === undefined ? 1 : 0;
		}
	}

	async #disturb(): Promise<void> {
		const disturbances: Array<() => Promise<void>> = [
			async () => this.#deployment.cutStore(this.#choices.oneOf(this.#deployment.dataCentres), this.#choices.between(1000, 8000)),
			async () => this.#cutStoreEverywhere(),
			async () => {
				this.#choices.oneOf(this.#endpoints).resetConnections(0.5);
			},
			async () => this.#deployment.restart(this.#anyInstance()),
			async () => this.#deployment.freeze(this.#anyInstance(), freezeMilliseconds),
		];
		const running: Array<Promise<void>> = [];
		while (performance.now() < this.#endsAt) {
			await delay(this.#choices.between(1000, 4000));
			running.push(this.#choices.oneOf(disturbances)());
		}

		await Promise.all(running);
	}

	async #cutStoreEverywhere(): Promise<void> {
		const milliseconds = this.#choices.between(1000, 8000);
		await Promise.all(this.#deployment.dataCentres.map(async dataCentre => this.#deployment.cutStore(dataCentre, milliseconds)));
	}

	#countLate(): number {
		if (this.#options.announcement !== 'leaving') {
			return 0;
		}

		return this.#arrivals.filter(arrival => this.#told.some(told => isBetween(told, arrival)
			&& arrival.at > told.at + drainMilliseconds && !this.#wasInterrupted(told, arrival.at))).length;
	}

	#findMostInRest(): number {
		return Math.max(0, ...this.#told.filter(({restMilliseconds}) => restMilliseconds > 0).map(told => this.#arrivals.filter(arrival => isBetween(told, arrival)
			&& arrival.at > told.at + restNoticeMilliseconds && arrival.at < told.at + told.restMilliseconds && !this.#wasInterrupted(told, arrival.at)).length));
	}

	#wasInterrupted({instance: name, at}: Told, before: number): boolean {
		const instance = this.#deployment.instances.find(other => other.name === name);
		return instance?.interruptions.some(interruption => interruption >= at && interruption <= before) ?? false;
	}

	#anyInstance(): GatewayInstance {
		return this.#choices.oneOf(this.#deployment.instances);
	}
}

/** Whether a request arrived where the announcement was made, through the instance that it was made to. */
function isBetween({endpoint, instance}: Told, arrival: Arrival): boolean {
	return arrival.endpoint === endpoint && arrival.instance === instance;
}
