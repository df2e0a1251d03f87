/** Callers that mostly open new connections, and come back to other instances where their request was not served. */
import {randomBytes} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {type Choices} from './choices.js';
import {deskPaths} from './desk-deployment.js';
import {
	deploymentWireNames as names, type GatewayDeployment, type GatewayInstance, host, instanceHeader,
} from './gateway-deployment.js';
import {type LoadBalancer} from './load-balancer.js';
import {RawCaller, type RawAnswer} from './raw-caller.js';

/** One try of a request. */
export type SkewedTry = {
	instance: GatewayInstance;
	attemptId: string;
	startedAt: number;
	endedAt: number;
	answer: RawAnswer;
};

/** One request; times are milliseconds of `performance.now()`. */
export type SkewedRequest = {sentAt: number; path: string; body: string; tries: SkewedTry[]};

const deadlineMilliseconds = 3000;
const maxTries = 3;
const keptPercent = 10;
const defaultPauseMilliseconds = 100;
/** Statuses that promise that the request has not run. */
const refusalStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

export class SkewedCallers {
	readonly requests: SkewedRequest[] = [];
	readonly #deployment: GatewayDeployment;
	readonly #balancer: LoadBalancer;
	readonly #choices: Choices;
	readonly #caller = new RawCaller();

	constructor(deployment: GatewayDeployment, balancer: LoadBalancer, choices: Choices) {
		this.#deployment = deployment;
		this.#balancer = balancer;
		this.#choices = choices;
	}

	/** Sends requests at a rate that may change, until a time of `performance.now()`, and waits for their ends. */
	async sendUntil(endsAt: number, ratePerSecond: () => number): Promise<void> {
		const sent: Array<Promise<void>> = [];
		for (let dueAt = performance.now(); dueAt < endsAt; dueAt += 1000 / ratePerSecond()) {
			await delay(Math.max(0, dueAt - performance.now()));
			sent.push(this.#follow());
		}

		await Promise.all(sent);
		this.#caller.close();
	}

	async #follow(): Promise<void> {
		const sentAt = performance.now();
		const request: SkewedRequest = {
			sentAt, path: this.#choices.oneOf(deskPaths), body: `request ${this.requests.length}`, tries: [],
		};
		this.requests.push(request);
		const dataCentre = this.#choices.oneOf(this.#deployment.dataCentres);
		const isKept = this.#choices.chance(keptPercent);
		let instance = isKept ? this.#ownInstance(dataCentre) : this.#balancer.instanceFor(dataCentre);
		for (;;) {
			const {answer} = await this.#try(request, instance, isKept && request.tries.length === 0);
			const isOver = performance.now() - sentAt >= deadlineMilliseconds || request.tries.length === maxTries;
			if (isOver || !mayRetry(request.path, answer)) {
				return;
			}

			const retryAfter = answer.headers['retry-after'];
			await delay(retryAfter === undefined ? defaultPauseMilliseconds : Number(retryAfter) * 1000);
			instance = this.#balancer.otherThan(request.tries.map(({instance: met}) => met));
		}
	}

	async #try(request: SkewedRequest, instance: GatewayInstance, isKept: boolean): Promise<SkewedTry> {
		const attemptId = randomBytes(8).toString('hex');
		const startedAt = performance.now();
		const timeoutMilliseconds = Math.max(1, deadlineMilliseconds - (startedAt - request.sentAt));
		const answer = await this.#caller.send(isKept ? 'kept' : 'close', {
			address: instance.address,
			path: request.path,
			body: request.body,
			timeoutMilliseconds,
			headers: {
				host, [names.attemptId]: attemptId, [names.deadline]: String(Math.round(timeoutMilliseconds)), [instanceHeader]: instance.name,
			},
		});
		const tried: SkewedTry = {
			instance, attemptId, startedAt, endedAt: performance.now(), answer,
		};
		request.tries.push(tried);
		return tried;
	}

	/** Open connections stay with their instances. */
	#ownInstance(dataCentre: string): GatewayInstance {
		return this.#choices.oneOf(this.#deployment.instances.filter(instance => instance.dataCentre === dataCentre));
	}
}

/** What may run once only is sent again only after the promise that it has not run, or where it cannot have been read. */
function mayRetry(path: string, {status, end}: RawAnswer): boolean {
	if (status === 200) {
		return end !== 'complete' && path !== deskPaths[0];
	}

	return refusalStatuses.has(status) || end === 'not-connected' || path !== deskPaths[0];
}
