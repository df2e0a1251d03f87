/**
 * Checks over real gateway processes that brittle endpoints do not fall over: each has to turn away what finds no room, from all
 * instances together, and ends if that is more than it states in its answers within a second.
 */
import {type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {hashOf} from '../shared/hash-of.js';
import {Choices} from './choices.js';
import {deskDeployment, startDesk} from './desk-deployment.js';
import {DeskTraffic} from './desk-traffic.js';
import {type Arrival, type DeploymentEndpoint, type EndpointScript} from './deployment-endpoint.js';
import {contactMilliseconds, deploymentWireNames as names, type GatewayDeployment} from './gateway-deployment.js';

export type BrittleEndpointsOptions = {
	seed: number;
	/** Second byte of the loopback addresses. */
	network: number;
	requestsPerSecond: number;
	/** Requests that an endpoint runs at a time. */
	slots?: number;
	/** From the contact time after the endpoints became brittle. */
	milliseconds: number;
	/** Whether the coordinator is killed within that time. */
	isCoordinatorKilled?: boolean;
};

export type BrittleEndpointsReport = {
	seed: number;
	requestsPerSecond: number;
	/** How often endpoints fell over, and how often they may. */
	falls: number;
	allowedFalls: number;
	turnedAway: number;
	/** Requests that were sent from the contact time after the endpoints became brittle. */
	sent: number;
	served: number;
	/** Requests that were sent after the endpoints were no longer brittle, in its last second. */
	freeSent: number;
	freeServed: number;
};

const defaultSlots = 16;
const workMilliseconds = 600;
/** Requests that an endpoint lets wait, before and after the contact time. */
const usualRoom = 8;
const brittleRoom = 1;
/** Requests that a brittle endpoint may turn away in a second. */
const maxTurnedAway = 5;
const downMilliseconds = 3000;
const windowMilliseconds = 1000;
const leadMilliseconds = 1500;
/** After the endpoints are no longer brittle. */
const tailMilliseconds = 2000;
const eventsOfAnswer = 2;
const allowedExtra = 2;
const allowedShare = 0.1;

/** What an endpoint does at present. */
type Work = {running: number; waiting: Array<() => void>; turnedAway: Rejection[]};

/** A request that found no room, and whether the instance that sent it was in touch. */
type Rejection = {at: number; isInTouch: boolean};

export async function runBrittleEndpoints(options: BrittleEndpointsOptions): Promise<BrittleEndpointsReport> {
	const run = new BrittleEndpointsRun(options);
	try {
		await run.start();
		return await run.play();
	} finally {
		await run.stop();
	}
}

class BrittleEndpointsRun implements EndpointScript {
	readonly #options: BrittleEndpointsOptions;
	readonly #choices: Choices;
	readonly #deployment: GatewayDeployment;
	readonly #work = new Map<string, Work>();
	readonly #answers: Array<{sentAt: number; isServed: boolean}> = [];
	#endpoints: DeploymentEndpoint[] = [];
	#brittleFrom = Number.POSITIVE_INFINITY;
	#brittleUntil = Number.POSITIVE_INFINITY;
	#falls = 0;
	#turnedAway = 0;

	constructor(options: BrittleEndpointsOptions) {
		this.#options = options;
		this.#choices = Choices.fromSeed(hashOf(`brittle endpoints ${options.seed}`));
		this.#deployment = deskDeployment(options.network);
	}

	async start(): Promise<void> {
		this.#endpoints = await startDesk(this.#deployment, this, {slots: this.#slots});
	}

	async play(): Promise<BrittleEndpointsReport> {
		const {seed, requestsPerSecond, milliseconds, isCoordinatorKilled = false} = this.#options;
		this.#brittleFrom = performance.now() + leadMilliseconds;
		const countedFrom = this.#brittleFrom + contactMilliseconds;
		this.#brittleUntil = countedFrom + milliseconds;
		const endsAt = this.#brittleUntil + tailMilliseconds;
		const sending = new DeskTraffic(this.#deployment, this.#choices, (answer, _instance, sentAt) => {
			this.#answers.push({sentAt, isServed: answer.status === 200 && answer.isWhole});
		}).sendUntil(endsAt, requestsPerSecond);
		await delay(countedFrom - performance.now() + (milliseconds / 3));
		const coordinator = this.#deployment.coordinator();
		if (isCoordinatorKilled && coordinator !== undefined) {
			await this.#deployment.restart(coordinator);
		}

		await sending;
		const counted = this.#answers.filter(({sentAt}) => sentAt >= countedFrom && sentAt < this.#brittleUntil);
		const free = this.#answers.filter(({sentAt}) => sentAt >= endsAt - windowMilliseconds);
		return {
			seed,
			requestsPerSecond,
			falls: this.#falls,
			allowedFalls: allowedExtra + (allowedShare * this.#endpoints.length),
			turnedAway: this.#turnedAway,
			sent: counted.length,
			served: counted.filter(({isServed}) => isServed).length,
			freeSent: free.length,
			freeServed: free.filter(({isServed}) => isServed).length,
		};
	}

	async stop(): Promise<void> {
		for (const endpoint of this.#endpoints) {
			endpoint.close();
		}

		await this.#deployment.stop();
	}

	arrived(): void {
		// Requests are counted when they find room or not.
	}

	headers(): Record<string, string> {
		const now = performance.now();
		return now >= this.#brittleFrom && now < this.#brittleUntil ? {'server-brittle': String(maxTurnedAway)} : {};
	}

	async run(endpoint: DeploymentEndpoint, arrival: Arrival, response: ServerResponse): Promise<void> {
		const work = this.#work.get(endpoint.name) ?? {running: 0, waiting: [], turnedAway: []};
		this.#work.set(endpoint.name, work);
		if (work.running >= this.#slots && work.waiting.length >= this.#room()) {
			this.#turnAway(endpoint, work, arrival, response);
			return;
		}

		if (work.running >= this.#slots) {
			await new Promise<void>(resolve => {
				work.waiting.push(resolve);
			});
		} else {
			work.running++;
		}

		if (!response.destroyed) {
			await delay(workMilliseconds);
			await endpoint.answer(response, arrival, eventsOfAnswer);
		}

		const next = work.waiting.shift();
		if (next === undefined) {
			work.running--;
		} else {
			next();
		}
	}

	get #slots(): number {
		return this.#options.slots ?? defaultSlots;
	}

	#room(): number {
		const now = performance.now();
		return now >= this.#brittleFrom + contactMilliseconds && now < this.#brittleUntil ? brittleRoom : usualRoom;
	}

	/** A fall counts if most of what was turned away came from instances in touch. */
	#turnAway(endpoint: DeploymentEndpoint, work: Work, arrival: Arrival, response: ServerResponse): void {
		const now = performance.now();
		response.writeHead(503, {[names.notExecuted]: '1', ...this.headers()});
		response.end();
		if (now < this.#brittleFrom + contactMilliseconds || now >= this.#brittleUntil) {
			return;
		}

		this.#turnedAway++;
		const interruptedAt = this.#deployment.instances.find(({name}) => name === arrival.instance)?.interruptions.at(-1) ?? Number.NEGATIVE_INFINITY;
		work.turnedAway = [...work.turnedAway.filter(({at}) => now - at < windowMilliseconds), {at: now, isInTouch: now - interruptedAt > contactMilliseconds}];
		if (work.turnedAway.length > maxTurnedAway && endpoint.isUp) {
			this.#falls += work.turnedAway.filter(({isInTouch}) => isInTouch).length * 2 > work.turnedAway.length ? 1 : 0;
			void endpoint.crash(downMilliseconds);
		}
	}
}
