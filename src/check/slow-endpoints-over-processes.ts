/**
 * Checks over real gateway processes that requests to endpoints which are slow, or silent for a moment, are served: nothing else
 * is wrong with them.
 */
import {type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {hashOf} from '../shared/hash-of.js';
import {Choices} from './choices.js';
import {deskDeployment, startDesk} from './desk-deployment.js';
import {DeskTraffic} from './desk-traffic.js';
import {type Arrival, type DeploymentEndpoint, type EndpointScript} from './deployment-endpoint.js';
import {type GatewayDeployment} from './gateway-deployment.js';

export type SlowEndpointsOptions = {
	seed: number;
	/** Second byte of the loopback addresses. */
	network: number;
	/** Time to the first byte of each answer. */
	firstByteMilliseconds: number;
	/** How long all endpoints fall silent, one after the other; 0 if they do not. */
	silenceMilliseconds: number;
	milliseconds: number;
};

export type SlowEndpointsReport = Omit<SlowEndpointsOptions, 'network'> & {
	sent: number;
	served: number;
	failures: Record<string, number>;
};

const requestsPerSecond = 10;
const eventsOfAnswer = 4;
/** From one endpoint's silence to the next one's. */
const betweenSilencesMilliseconds = 500;

export async function runSlowEndpoints(options: SlowEndpointsOptions): Promise<SlowEndpointsReport> {
	const run = new SlowEndpointsRun(options);
	try {
		await run.start();
		return await run.play();
	} finally {
		await run.stop();
	}
}

class SlowEndpointsRun implements EndpointScript {
	readonly #options: SlowEndpointsOptions;
	readonly #choices: Choices;
	readonly #deployment: GatewayDeployment;
	readonly #failures: Record<string, number> = {};
	#endpoints: DeploymentEndpoint[] = [];
	#silent: DeploymentEndpoint | undefined;
	#silentUntil = 0;

	constructor(options: SlowEndpointsOptions) {
		this.#options = options;
		this.#choices = Choices.fromSeed(hashOf(`slow endpoints ${options.seed}`));
		this.#deployment = deskDeployment(options.network);
	}

	async start(): Promise<void> {
		this.#endpoints = await startDesk(this.#deployment, this);
	}

	async play(): Promise<SlowEndpointsReport> {
		const {network: _, ...options} = this.#options;
		const endsAt = performance.now() + options.milliseconds;
		const traffic = new DeskTraffic(this.#deployment, this.#choices, ({status, isWhole}) => {
			if (status !== 200 || !isWhole) {
				this.#failures[status] = (this.#failures[status] ?? 0) + 1;
			}
		});
		const silencing = options.silenceMilliseconds > 0 ? this.#silence(endsAt) : undefined;
		await Promise.all([traffic.sendUntil(endsAt, requestsPerSecond), silencing]);
		return {
			...options, sent: traffic.requests, served: traffic.served, failures: this.#failures,
		};
	}

	async stop(): Promise<void> {
		for (const endpoint of this.#endpoints) {
			endpoint.close();
		}

		await this.#deployment.stop();
	}

	arrived(): void {
		// Only the answers are counted.
	}

	headers(): Record<string, string> {
		return {};
	}

	async run(endpoint: DeploymentEndpoint, arrival: Arrival, response: ServerResponse): Promise<void> {
		await delay(this.#options.firstByteMilliseconds);
		if (endpoint === this.#silent) {
			await delay(Math.max(0, this.#silentUntil - performance.now()));
		}

		await endpoint.answer(response, arrival, eventsOfAnswer);
	}

	/** Silences one endpoint after the other; its answers begin when its silence is over. */
	async #silence(endsAt: number): Promise<void> {
		const {silenceMilliseconds} = this.#options;
		while (performance.now() < endsAt) {
			this.#silentUntil = performance.now() + silenceMilliseconds;
			this.#silent = this.#choices.oneOf(this.#endpoints);
			await delay(silenceMilliseconds + betweenSilencesMilliseconds);
		}
	}
}
