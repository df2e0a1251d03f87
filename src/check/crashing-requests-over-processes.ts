/**
 * Checks over real gateway processes that a request which crashes its endpoints is kept from them once three have ended, at
 * whichever instance it arrives, and that no other request is taken for it.
 *
 * Beside the crashing requests, which return again and again, there are requests that share endpoints with them, one request
 * that many callers send in the same words, and different requests that crash an endpoint once. Endpoints also end for other
 * reasons, leave and reset connections; instances are killed and started again; data centres are cut off from the store.
 */
import {type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {hashOf} from '../shared/hash-of.js';
import {Choices} from './choices.js';
import {deskDeployment, deskPaths, startDesk} from './desk-deployment.js';
import {type DeploymentEndpoint, type Arrival, type EndpointScript} from './deployment-endpoint.js';
import {contactMilliseconds, type GatewayDeployment, type GatewayInstance} from './gateway-deployment.js';

export type CrashingRequestsOptions = {
	seed: number;
	/** Second byte of the loopback addresses. */
	network: number;
	milliseconds: number;
};

export type CrashingRequestsReport = {
	seed: number;
	/** Returns of the crashing requests. */
	returns: number;
	/** Crashes by request. */
	crashes: Record<string, number>;
	/** By request: arrivals at endpoints later than the contact time after its third crash, through instances in touch. */
	lateArrivals: Record<string, number>;
	/** Other requests that were refused as if they crashed endpoints. */
	wronglyBlocked: string[];
	/** Other requests, and those of them that got a complete answer in the end. */
	others: number;
	served: number;
};

/** Sends of a crashing request that may still reach endpoints later than the contact time after its third crash. */
export const allowedLateArrivals = 3;
const crashesBeforeBlock = 3;
const blockedCode = 'crashes-endpoints';

const othersPerSecond = 40;
const hotBody = 'the same words';

export async function runCrashingRequests({seed, network, milliseconds}: CrashingRequestsOptions): Promise<CrashingRequestsReport> {
	const run = new CrashingRequestsRun(seed, network);
	try {
		await run.start();
		return await run.play(milliseconds);
	} finally {
		await run.stop();
	}
}

class CrashingRequestsRun implements EndpointScript {
	readonly #seed: number;
	readonly #choices: Choices;
	readonly #deployment: GatewayDeployment;
	#endpoints: DeploymentEndpoint[] = [];
	readonly #crashesAt = new Map<string, number[]>();
	readonly #arrivals: Array<Arrival & {isInTouch: boolean}> = [];
	#returns = 0;
	#others = 0;
	#served = 0;
	readonly #wronglyBlocked: string[] = [];
	#endsAt = 0;
	#numbers = 0;

	constructor(seed: number, network: number) {
		this.#seed = seed;
		this.#choices = Choices.fromSeed(hashOf(`crashing requests ${seed}`));
		this.#deployment = deskDeployment(network);
	}

	async start(): Promise<void> {
		this.#endpoints = await startDesk(this.#deployment, this);
	}

	async play(milliseconds: number): Promise<CrashingRequestsReport> {
		this.#endsAt = performance.now() + milliseconds;
		const crashing = Array.from({length: this.#choices.between(1, 2)}, (_, index) => `crash ${index + 1}`);
		await Promise.all([
			...crashing.map(async body => this.#returnAgain(body)),
			this.#sendOthers(),
			this.#sendHot(),
			this.#flood(),
			this.#disturb(),
		]);
		return {
			seed: this.#seed,
			returns: this.#returns,
			crashes: Object.fromEntries(crashing.map(body => [body, this.#crashesAt.get(body)?.length ?? 0])),
			lateArrivals: Object.fromEntries(crashing.map(body => [body, this.#lateArrivalsOf(body)])),
			wronglyBlocked: this.#wronglyBlocked,
			others: this.#others,
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

	headers(): Record<string, string> {
		return {};
	}

	async run(endpoint: DeploymentEndpoint, arrival: Arrival, response: ServerResponse): Promise<void> {
		const {body} = arrival;
		await delay(this.#choices.between(5, 60));
		if (!body.startsWith('crash')) {
			await endpoint.answer(response, arrival, this.#choices.between(2, 25));
			return;
		}

		if (this.#choices.chance(70)) {
			endpoint.begin(response, arrival);
		}

		await delay(this.#choices.between(20, 60));
		if (!response.destroyed && endpoint.isUp) {
			this.#crashesAt.set(body, [...this.#crashesAt.get(body) ?? [], performance.now()]);
			await endpoint.crash(this.#choices.between(400, 1200));
		}
	}

	/** A caller of a crashing request: it tries again after each failure, at any instance, and comes back later. */
	async #returnAgain(body: string): Promise<void> {
		const path = this.#choices.oneOf(deskPaths);
		await delay(this.#choices.between(200, 1500));
		while (!this.#isOver) {
			const instance = this.#anyInstance();
			this.#returns++;
			await this.#deployment.send(instance, {path, body, deadlineMilliseconds: 3000});
			await delay(this.#choices.between(50, 700));
		}
	}

	async #sendOthers(): Promise<void> {
		const sent: Array<Promise<void>> = [];
		while (!this.#isOver) {
			this.#numbers++;
			sent.push(this.#sendOther(`other ${this.#numbers}`, this.#choices.oneOf(deskPaths)));
			await delay(1000 / othersPerSecond);
		}

		await Promise.all(sent);
	}

	async #sendHot(): Promise<void> {
		const sent: Array<Promise<void>> = [];
		while (!this.#isOver) {
			sent.push(this.#sendOther(hotBody, '/lookup/'));
			await delay(this.#choices.between(40, 120));
		}

		await Promise.all(sent);
	}

	/** Many different requests that crash an endpoint once each. */
	async #flood(): Promise<void> {
		if (!this.#choices.chance(30)) {
			return;
		}

		for (let count = this.#choices.between(5, 15); count > 0 && !this.#isOver; count--) {
			this.#numbers++;
			await this.#deployment.send(this.#anyInstance(), {path: '/once/', body: `crash once ${this.#numbers}`, deadlineMilliseconds: 2000});
			await delay(this.#choices.between(100, 500));
		}
	}

	/** A caller that repeats a failed request once. */
	async #sendOther(body: string, path: string): Promise<void> {
		this.#others++;
		for (let attempt = 0; attempt < 2; attempt++) {
			const instance = this.#anyInstance();
			const answer = await this.#deployment.send(instance, {path, body, deadlineMilliseconds: 3000});
			if (answer.status === 200 && answer.isWhole) {
				this.#served++;
				return;
			}

			if (answer.body.includes(blockedCode)) {
				this.#wronglyBlocked.push(`${body} at ${instance.name}, ${Math.round(performance.now() - instance.disturbedAt)} ms after its last disturbance`);
			}
		}
	}

	async #disturb(): Promise<void> {
		const disturbances: Array<() => Promise<void>> = [
			async () => this.#anyEndpoint().crash(this.#choices.between(400, 1200)),
			async () => this.#anyEndpoint().leave(this.#choices.between(200, 800), this.#choices.between(200, 800)),
			async () => {
				this.#anyEndpoint().resetConnections(0.5);
			},
			async () => this.#deployment.restart(this.#anyInstance()),
			async () => this.#deployment.cutStore(this.#choices.oneOf(this.#deployment.dataCentres), this.#choices.between(500, 3000)),
		];
		const running: Array<Promise<void>> = [];
		while (!this.#isOver) {
			await delay(this.#choices.between(300, 2500));
			running.push(this.#choices.oneOf(disturbances)());
		}

		await Promise.all(running);
	}

	#lateArrivalsOf(body: string): number {
		const third = this.#crashesAt.get(body)?.at(crashesBeforeBlock - 1) ?? Number.POSITIVE_INFINITY;
		return this.#arrivals.filter(arrival => arrival.body === body && arrival.isInTouch && arrival.at > third + contactMilliseconds).length;
	}

	#anyInstance(): GatewayInstance {
		return this.#choices.oneOf(this.#deployment.instances);
	}

	#anyEndpoint(): DeploymentEndpoint {
		return this.#choices.oneOf(this.#endpoints);
	}

	get #isOver(): boolean {
		return performance.now() >= this.#endsAt;
	}
}
