/**
 * Checks over real gateway processes that no answer is lost while sound endpoints fall silent and go on, and while the
 * configuration changes: only the timeouts of routes differ, and they never pass. Nothing else is wrong in these runs.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {hashOf} from '../shared/hash-of.js';
import {type JsonValue} from '../shared/types.js';
import {Choices} from './choices.js';
import {DeploymentEndpoint} from './deployment-endpoint.js';
import {GatewayDeployment} from './gateway-deployment.js';
import {
	isPrompt, model, pathOf, routeRow, service, serviceRow, type SilentRoute, slots,
} from './silent-routes.js';
import {SilentTraffic, type TrafficReport} from './silent-traffic.js';
import {SilentWork, type WorkReport} from './silent-work.js';

export type SilentEndpointsOptions = {
	seed: number;
	/** Second byte of the loopback addresses. */
	network: number;
	milliseconds: number;
	route: SilentRoute;
	requestsPerSecond: number;
	/** The shortest and the longest silence. */
	silenceMilliseconds: readonly [minimum: number, maximum: number];
	/** How many endpoints fall silent at a time; 0 if single answers do, and not their endpoints. */
	silentAtATime: number;
	/** The number of connections that an endpoint accepts from all instances together; 0 for any number. */
	connectionLimit?: number;
};

export type SilentEndpointsReport = Omit<SilentEndpointsOptions, 'network'> & TrafficReport & WorkReport & {
	/** Connections that endpoints reset because they had too many. */
	resets: number;
};

const dataCentres = 3;
const perDataCentre = 2;
const configurationMilliseconds = 1500;
/** Longer than any answer takes with its silences. */
const timeoutMilliseconds = [9000, 12_000] as const;
const deadlineMilliseconds = 9000;
const eventsOfAnswer = [20, 100] as const;
const eventMilliseconds = 35;
const betweenSilencesMilliseconds = 100;
const betweenSilentAnswersMilliseconds = 300;

/** Runs the check. */
export async function runSilentEndpoints(options: SilentEndpointsOptions): Promise<SilentEndpointsReport> {
	const run = new SilentEndpointsRun(options);
	try {
		await run.start();
		return await run.play();
	} finally {
		await run.stop();
	}
}

class SilentEndpointsRun {
	readonly #options: SilentEndpointsOptions;
	readonly #choices: Choices;
	readonly #deployment: GatewayDeployment;
	readonly #traffic: SilentTraffic;
	readonly #work: SilentWork;
	#endpoints: DeploymentEndpoint[] = [];
	/** Until when the answers of requests are silent, by the body of the request. */
	readonly #silentAnswers = new Map<string, number>();

	constructor(options: SilentEndpointsOptions) {
		const {seed, network, route} = options;
		this.#options = options;
		this.#choices = Choices.fromSeed(hashOf(`silent endpoints ${seed}`));
		this.#deployment = new GatewayDeployment({
			network, dataCentres, instancesPerDataCentre: perDataCentre, routes: [this.#route()], services: [serviceRow(route, options.connectionLimit)],
		});
		this.#traffic = new SilentTraffic(this.#deployment, Choices.fromSeed(hashOf(`silent endpoints ${seed} traffic`)), {
			path: pathOf(route), deadlineMilliseconds, model: isPrompt(route) ? model : undefined, eventsOfAnswer,
		});
		this.#work = new SilentWork({
			route,
			choices: this.#choices,
			eventMilliseconds,
			untilAudible: async (endpoint, body) => {
				await delay(Math.max(0, (this.#silentAnswers.get(body) ?? 0) - performance.now()));
				await endpoint.untilAudible();
			},
		});
	}

	async start(): Promise<void> {
		this.#endpoints = this.#deployment.dataCentres.flatMap((dataCentre, index) => Array.from({length: perDataCentre}, (_, number) => new DeploymentEndpoint(this.#deployment, {
			dataCentre,
			address: this.#deployment.endpointAddress(index + 1, number + 1),
			service,
			slots,
			...(isPrompt(this.#options.route) ? {model} : {}),
			...(this.#options.connectionLimit ? {connectionLimit: this.#options.connectionLimit} : {}),
		}, this.#work)));
		await Promise.all(this.#endpoints.map(async endpoint => endpoint.start()));
		await this.#deployment.start();
	}

	async play(): Promise<SilentEndpointsReport> {
		const {network: _, ...options} = this.#options;
		const endsAt = performance.now() + options.milliseconds;
		await Promise.all([
			this.#traffic.sendUntil(endsAt, options.requestsPerSecond), this.#silence(endsAt), this.#changeConfiguration(endsAt),
		]);
		return {
			...options,
			...this.#traffic.report,
			...this.#work.report(this.#traffic, this.#deployment.lines()),
			resets: this.#endpoints.reduce((sum, {resets}) => sum + resets, 0),
		};
	}

	async stop(): Promise<void> {
		for (const endpoint of this.#endpoints) {
			endpoint.close();
		}

		await this.#deployment.stop();
	}

	#route(): JsonValue {
		return routeRow(this.#options.route, this.#choices.between(...timeoutMilliseconds));
	}

	/** Silences endpoints one after the other, or running answers. */
	async #silence(endsAt: number): Promise<void> {
		const {silenceMilliseconds, silentAtATime} = this.#options;
		const [, longestMilliseconds] = silenceMilliseconds;
		if (longestMilliseconds === 0) {
			return;
		}

		for (let next = 0; performance.now() < endsAt; next += silentAtATime) {
			const milliseconds = this.#choices.between(...silenceMilliseconds);
			if (silentAtATime === 0) {
				this.#silenceAnswer(milliseconds);
				await delay(betweenSilentAnswersMilliseconds);
				continue;
			}

			for (let number = next; number < next + silentAtATime; number++) {
				this.#endpoints[number % this.#endpoints.length]!.fallSilent(milliseconds);
			}

			await delay(milliseconds + betweenSilencesMilliseconds);
		}
	}

	#silenceAnswer(milliseconds: number): void {
		const running = this.#work.runningBodies;
		if (running.length > 0) {
			this.#silentAnswers.set(this.#choices.oneOf(running), performance.now() + milliseconds);
		}
	}

	async #changeConfiguration(endsAt: number): Promise<void> {
		while (performance.now() < endsAt) {
			await delay(configurationMilliseconds);
			this.#deployment.configure([this.#route()]);
		}
	}
}
