/**
 * Checks over real gateway processes that no answer is lost while sound endpoints fall silent and go on, and while the
 * configuration changes: only the timeouts of routes differ, and they never pass. Nothing else is wrong in these runs.
 */
import {type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {hashOf} from '../shared/hash-of.js';
import {type JsonValue} from '../shared/types.js';
import {Choices} from './choices.js';
import {type Arrival, DeploymentEndpoint, type EndpointScript} from './deployment-endpoint.js';
import {deploymentWireNames, GatewayDeployment, host} from './gateway-deployment.js';
import {SilentTraffic, type TrafficReport} from './silent-traffic.js';

/** The routes, one of which a run uses. Prompts go to engines, the others to a plain service. */
const routes = {
	'prompt-resumable': {
		kind: 'stream', resumable: true, max_attempts: 3, sticky: true,
	},
	'prompt-resumable-one-attempt': {
		kind: 'stream', resumable: true, max_attempts: 1, sticky: true,
	},
	'prompt-once': {kind: 'stream', max_attempts: 1, sticky: true},
	resumable: {kind: 'stream', resumable: true, max_attempts: 3},
	idempotent: {kind: 'idempotent', max_attempts: 3},
	once: {kind: 'stream', max_attempts: 1},
} as const;

export type SilentRoute = keyof typeof routes;
export const silentRoutes = Object.keys(routes) as SilentRoute[];

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

export type SilentEndpointsReport = Omit<SilentEndpointsOptions, 'network'> & TrafficReport & {
	/** Attempts beyond the first of each request. */
	retries: number;
	/** Streams at work at two endpoints for longer than a cancellation may take. */
	doubled: number;
	/** Requests that were refused as not run although they had reached an endpoint. */
	wronglyRefused: number;
	/** Connections that endpoints reset because they had too many. */
	resets: number;
	/** Log lines of failed attempts, by outcome and detail. */
	failedAttempts: Record<string, number>;
};

const service = 'desk';
const model = 'model-1';
const slots = 16;
const dataCentres = 3;
const perDataCentre = 2;
const engine = {
	slots, kv_capacity_tokens: 200_000, kv_token_bytes: 1000, link_mbps: 1000, models: [{name: model}],
};
const configurationMilliseconds = 1500;
/** Longer than any answer takes with its silences. */
const timeoutMilliseconds = [9000, 12_000] as const;
const deadlineMilliseconds = 9000;
const firstByteMilliseconds = [40, 400] as const;
const eventMilliseconds = 35;
const betweenSilencesMilliseconds = 100;
const betweenSilentAnswersMilliseconds = 300;
/** Time within which an endpoint must have noticed that its stream goes on elsewhere. */
const doubledMilliseconds = 400;

/** The time for which an endpoint worked on a request, in milliseconds of `performance.now()`. */
type Work = {startedAt: number; endedAt: number};

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

/** Returns the counts of a run that must be 0 and are not. */
export function violationsOf(report: SilentEndpointsReport): Partial<SilentEndpointsReport> {
	const {cut, unanswered, failed, wrongEvents, doubled, wronglyRefused} = report;
	const mustBeZero = {
		cut, unanswered, failed, wrongEvents, doubled, wronglyRefused,
	};
	return Object.fromEntries(Object.entries(mustBeZero).filter(([, count]) => count > 0));
}

class SilentEndpointsRun implements EndpointScript {
	readonly #options: SilentEndpointsOptions;
	readonly #choices: Choices;
	readonly #deployment: GatewayDeployment;
	readonly #traffic: SilentTraffic;
	/** How often requests reached an endpoint, by body. */
	readonly #arrivals = new Map<string, number>();
	readonly #works = new Map<string, Work[]>();
	#endpoints: DeploymentEndpoint[] = [];
	/** Until when the answers of requests are silent, by the body of the request. */
	readonly #silentAnswers = new Map<string, number>();

	constructor(options: SilentEndpointsOptions) {
		this.#options = options;
		this.#choices = Choices.fromSeed(hashOf(`silent endpoints ${options.seed}`));
		this.#deployment = new GatewayDeployment({
			network: options.network, dataCentres, instancesPerDataCentre: perDataCentre, routes: [this.#route()], services: [{name: service, max_conns: options.connectionLimit ?? 0, ...(this.#isPrompt ? {engine} : {})}],
		});
		this.#traffic = new SilentTraffic(this.#deployment, Choices.fromSeed(hashOf(`silent endpoints ${options.seed} traffic`)), {
			path: this.#path, deadlineMilliseconds, model: this.#isPrompt ? model : undefined,
		});
	}

	async start(): Promise<void> {
		this.#endpoints = this.#deployment.dataCentres.flatMap((dataCentre, index) => Array.from({length: perDataCentre}, (_, number) => new DeploymentEndpoint(this.#deployment, {
			dataCentre, address: this.#deployment.endpointAddress(index + 1, number + 1), service, slots, ...(this.#isPrompt ? {model} : {}), ...(this.#options.connectionLimit ? {connectionLimit: this.#options.connectionLimit} : {}),
		}, this)));
		await Promise.all(this.#endpoints.map(async endpoint => endpoint.start()));
		await this.#deployment.start();
	}

	async play(): Promise<SilentEndpointsReport> {
		const {network: _, ...options} = this.#options;
		const endsAt = performance.now() + options.milliseconds;
		await Promise.all([
			this.#traffic.sendUntil(endsAt, options.requestsPerSecond), this.#silence(endsAt), this.#changeConfiguration(endsAt),
		]);
		const works = [...this.#works.values()];
		return {
			...options,
			...this.#traffic.report,
			retries: [...this.#arrivals.values()].reduce((sum, count) => sum + count - 1, 0),
			doubled: this.#isStream ? works.filter(work => isDoubled(work)).length : 0,
			wronglyRefused: this.#traffic.refusedBodies.filter(body => this.#arrivals.has(body)).length,
			resets: this.#endpoints.reduce((sum, {resets}) => sum + resets, 0),
			failedAttempts: this.#failedAttempts(),
		};
	}

	async stop(): Promise<void> {
		for (const endpoint of this.#endpoints) {
			endpoint.close();
		}

		await this.#deployment.stop();
	}

	arrived({target, body}: Arrival): void {
		if (target === this.#path) {
			this.#arrivals.set(body, (this.#arrivals.get(body) ?? 0) + 1);
		}
	}

	headers(): Record<string, string> {
		return this.#isPrompt ? {[deploymentWireNames.weightVersion]: '1'} : {};
	}

	async run(endpoint: DeploymentEndpoint, arrival: Arrival, response: ServerResponse): Promise<void> {
		const {body} = arrival;
		if (response.destroyed) {
			return;
		}

		const work: Work = {startedAt: Number.POSITIVE_INFINITY, endedAt: Number.POSITIVE_INFINITY};
		this.#works.set(body, [...this.#works.get(body) ?? [], work]);
		response.once('close', () => {
			work.endedAt = performance.now();
		});
		await delay(this.#choices.between(...firstByteMilliseconds));
		await this.#untilAudible(endpoint, body);
		// An engine runs a request from its first token on; before, the request waits or is prefilled.
		work.startedAt = performance.now();
		endpoint.begin(response, arrival);
		const events = SilentTraffic.eventsOf(body);
		for (let id = 1 + Number(response.req.headers['last-event-id'] ?? 0); id <= events && !response.destroyed; id++) {
			await this.#untilAudible(endpoint, body);
			response.write(SilentTraffic.event(body, id));
			await delay(eventMilliseconds);
		}

		await this.#untilAudible(endpoint, body);
		response.end();
	}

	get #path(): string {
		return `/${this.#options.route}/`;
	}

	get #isPrompt(): boolean {
		return 'sticky' in routes[this.#options.route];
	}

	get #isStream(): boolean {
		return routes[this.#options.route].kind === 'stream';
	}

	#route(): JsonValue {
		return {
			...routes[this.#options.route],
			name: this.#options.route,
			prefix: this.#path,
			host,
			service,
			target_latency_ms: 600,
			gap_aim_ms: 800,
			timeout_ms: this.#choices.between(...timeoutMilliseconds),
		};
	}

	async #untilAudible(endpoint: DeploymentEndpoint, body: string): Promise<void> {
		await delay(Math.max(0, (this.#silentAnswers.get(body) ?? 0) - performance.now()));
		await endpoint.untilAudible();
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
		const running = [...this.#works].filter(([, works]) => works.some(({endedAt}) => endedAt === Number.POSITIVE_INFINITY));
		if (running.length > 0) {
			const [body] = this.#choices.oneOf(running);
			this.#silentAnswers.set(body, performance.now() + milliseconds);
		}
	}

	async #changeConfiguration(endsAt: number): Promise<void> {
		while (performance.now() < endsAt) {
			await delay(configurationMilliseconds);
			this.#deployment.configure([this.#route()]);
		}
	}

	#failedAttempts(): Record<string, number> {
		const counts: Record<string, number> = {};
		for (const {outcome, step, detail} of this.#deployment.lines().filter(({kind}) => kind === 'try-failed')) {
			const name = [outcome, step, detail].map(String).join(', ');
			counts[name] = (counts[name] ?? 0) + 1;
		}

		return counts;
	}
}

/** Whether a stream was at work at two endpoints at the same time for long. */
function isDoubled(works: Work[]): boolean {
	return works.some((one, index) => works.slice(index + 1).some(other => Math.min(one.endedAt, other.endedAt) - Math.max(one.startedAt, other.startedAt) > doubledMilliseconds));
}
