/**
 * Checks over real gateway processes that endpoints which warm up get no more requests within any second than they take, from all
 * instances together, and that no new request reaches an evacuated data centre. An endpoint that gets more ends.
 */
import {type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {hashOf} from '../shared/hash-of.js';
import {Choices} from './choices.js';
import {deskDeployment, startDesk} from './desk-deployment.js';
import {DeskTraffic} from './desk-traffic.js';
import {type Arrival, type DeploymentEndpoint, type EndpointScript} from './deployment-endpoint.js';
import {contactMilliseconds, type GatewayDeployment, warmUpBound} from './gateway-deployment.js';

export type WarmUpsOptions = {
	seed: number;
	/** Second byte of the loopback addresses. */
	network: number;
	requestsPerSecond: number;
	milliseconds: number;
};

export type WarmUpsReport = {
	seed: number;
	/** Endpoints that got more within a second than they take while they warmed up. */
	overBound: number;
	/** The same within the time that a row takes to reach all instances, after an endpoint has turned cold while it served. */
	overBoundUnannounced: number;
	/** The most requests within a second at an endpoint that warmed up, and the bound. */
	most: number;
	bound: number;
	/** Warm-ups that were played. */
	warmUps: number;
	evacuations: number;
	/** Requests that reached an evacuated data centre later than allowed, from instances in touch. */
	reachedEvacuated: number;
	sent: number;
	served: number;
};

const declaredPerSecond = 4;
const bound = (declaredPerSecond * warmUpBound.ratio) + warmUpBound.extra;
const warmUpMilliseconds = 2500;
const downMilliseconds = 900;
const eventsOfAnswer = 2;
const leadMilliseconds = 2000;
const stepMilliseconds = 1500;
const lateRowMilliseconds = 300;
/** A row reaches all instances within this time. */
const announcedMilliseconds = 1500;
const evacuateMilliseconds = 2500;
const evacuationMilliseconds = 4500;
const storeAwayMilliseconds = 2000;
/** Data centres that are evacuated at a time; the others have to serve all requests. */
const maxEvacuated = 1;

const steps = ['crash', 'crash-under-same-name', 'data-centre-returns', 'turn-cold', 'coordinator-killed', 'store-away', 'evacuation'] as const;

/** What is known of an endpoint's process. */
type Seen = {arrivals: number[]; turnedColdAt: number};

export async function runWarmUps(options: WarmUpsOptions): Promise<WarmUpsReport> {
	const run = new WarmUpsRun(options);
	try {
		await run.start();
		return await run.play();
	} finally {
		await run.stop();
	}
}

class WarmUpsRun implements EndpointScript {
	readonly #options: WarmUpsOptions;
	readonly #choices: Choices;
	readonly #deployment: GatewayDeployment;
	readonly #seen = new Map<DeploymentEndpoint, Seen>();
	/** When each evacuation was acknowledged. */
	readonly #evacuatedAt = new Map<string, number>();
	readonly #report: WarmUpsReport;
	#endpoints: DeploymentEndpoint[] = [];

	constructor(options: WarmUpsOptions) {
		this.#options = options;
		this.#choices = Choices.fromSeed(hashOf(`warm-ups ${options.seed}`));
		this.#deployment = deskDeployment(options.network, undefined, {cold_s: warmUpMilliseconds / 1000, cold_per_s: declaredPerSecond});
		this.#report = {
			seed: options.seed, overBound: 0, overBoundUnannounced: 0, most: 0, bound, warmUps: 0, evacuations: 0, reachedEvacuated: 0, sent: 0, served: 0,
		};
	}

	async start(): Promise<void> {
		this.#endpoints = await startDesk(this.#deployment, this, {slots: 64, warmUpMilliseconds});
	}

	async play(): Promise<WarmUpsReport> {
		const {requestsPerSecond, milliseconds} = this.#options;
		const endsAt = performance.now() + leadMilliseconds + milliseconds;
		const traffic = new DeskTraffic(this.#deployment, Choices.fromSeed(hashOf(`traffic ${this.#options.seed}`)));
		const sending = traffic.sendUntil(endsAt, requestsPerSecond);
		await delay(leadMilliseconds);
		const pending: Array<Promise<void>> = [];
		while (performance.now() < endsAt - stepMilliseconds) {
			pending.push(this.#disturb(this.#choices.oneOf(steps)));
			await delay(stepMilliseconds);
		}

		await sending;
		await Promise.all(pending);
		return {...this.#report, sent: traffic.requests, served: traffic.served};
	}

	async stop(): Promise<void> {
		for (const endpoint of this.#endpoints) {
			endpoint.close();
		}

		await this.#deployment.stop();
	}

	arrived(): void {
		// Requests that the endpoint rejects as meant for another one do not count.
	}

	headers(): Record<string, string> {
		return {};
	}

	async run(endpoint: DeploymentEndpoint, arrival: Arrival, response: ServerResponse): Promise<void> {
		this.#count(endpoint, arrival);
		await delay(10);
		if (!response.destroyed) {
			await endpoint.answer(response, arrival, eventsOfAnswer);
		}
	}

	#count(endpoint: DeploymentEndpoint, {instance}: Arrival): void {
		const now = performance.now();
		this.#countEvacuated(endpoint.dataCentre, instance, now);
		if (endpoint.warmUpLeft === 0) {
			return;
		}

		const seen = this.#seen.get(endpoint) ?? {arrivals: [], turnedColdAt: Number.NEGATIVE_INFINITY};
		this.#seen.set(endpoint, seen);
		seen.arrivals = [...seen.arrivals.filter(at => now - at < 1000), now];
		this.#report.most = Math.max(this.#report.most, seen.arrivals.length);
		if (seen.arrivals.length > bound && endpoint.isUp) {
			if (now - seen.turnedColdAt < announcedMilliseconds) {
				this.#report.overBoundUnannounced++;
			} else {
				this.#report.overBound++;
			}

			seen.arrivals = [];
			void this.#crash(endpoint, {});
		}
	}

	#countEvacuated(dataCentre: string, instance: string, now: number): void {
		const evacuatedAt = this.#evacuatedAt.get(dataCentre) ?? Number.POSITIVE_INFINITY;
		const disturbedAt = this.#deployment.instances.find(({name}) => name === instance)?.disturbedAt ?? Number.POSITIVE_INFINITY;
		if (now - evacuatedAt > evacuateMilliseconds && now - disturbedAt > contactMilliseconds) {
			this.#report.reachedEvacuated++;
		}
	}

	async #disturb(step: (typeof steps)[number]): Promise<void> {
		const endpoint = this.#choices.oneOf(this.#endpoints);
		const {dataCentre} = endpoint;
		switch (step) {
			case 'crash': {
				await this.#crash(endpoint, {});
				break;
			}

			case 'crash-under-same-name': {
				await this.#crash(endpoint, {keepsName: true, rowDelayMilliseconds: lateRowMilliseconds});
				break;
			}

			case 'data-centre-returns': {
				await Promise.all(this.#endpoints.filter(other => other.dataCentre === dataCentre).map(async other => this.#crash(other, {})));
				break;
			}

			case 'turn-cold': {
				this.#report.warmUps++;
				this.#seen.set(endpoint, {arrivals: [], turnedColdAt: performance.now()});
				endpoint.turnCold();
				break;
			}

			case 'coordinator-killed': {
				const coordinator = this.#deployment.coordinator();
				if (coordinator !== undefined) {
					await this.#deployment.restart(coordinator);
				}

				break;
			}

			case 'store-away': {
				await this.#deployment.cutStore(dataCentre, storeAwayMilliseconds);
				break;
			}

			case 'evacuation': {
				await this.#evacuate(dataCentre);
				break;
			}
		}
	}

	async #crash(endpoint: DeploymentEndpoint, restart: {keepsName?: boolean; rowDelayMilliseconds?: number}): Promise<void> {
		if (endpoint.isUp) {
			this.#report.warmUps++;
			this.#seen.delete(endpoint);
			await endpoint.crash(downMilliseconds, {resetsConnections: true, ...restart});
		}
	}

	/** Evacuates a data centre for a time; its endpoints are cold when it ends. */
	async #evacuate(dataCentre: string): Promise<void> {
		if (this.#evacuatedAt.size >= maxEvacuated || this.#evacuatedAt.has(dataCentre)) {
			return;
		}

		this.#report.evacuations++;
		this.#deployment.setEvacuated(dataCentre, true);
		this.#evacuatedAt.set(dataCentre, performance.now());
		await delay(evacuationMilliseconds);
		for (const endpoint of this.#endpoints.filter(other => other.dataCentre === dataCentre && other.isUp)) {
			endpoint.turnCold();
		}

		await delay(announcedMilliseconds);
		this.#evacuatedAt.delete(dataCentre);
		this.#deployment.setEvacuated(dataCentre, false);
	}
}
