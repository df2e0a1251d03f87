/** What the endpoints of the checks of silent endpoints do: they answer with events, and note what reached them and for how long they worked. */
import {type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {type JsonValue} from '../shared/types.js';
import {type Choices} from './choices.js';
import {type Arrival, type DeploymentEndpoint, type EndpointScript} from './deployment-endpoint.js';
import {deploymentWireNames} from './gateway-deployment.js';
import {
	isPrompt, isStream, pathOf, type SilentRoute,
} from './silent-routes.js';
import {SilentTraffic, type TrafficReport} from './silent-traffic.js';

/** What the endpoints of a run saw, beside what the callers got. */
export type WorkReport = {
	/** Attempts beyond the first of each request. */
	retries: number;
	/** Streams at work at two endpoints for longer than a cancellation may take. */
	doubled: number;
	/** Requests that were refused as not run although they had reached an endpoint. */
	wronglyRefused: number;
	/** Requests that had reached an endpoint although they crossed the close of their connection. */
	wronglyClosed: number;
	/** Log lines of failed attempts, by outcome and detail. */
	failedAttempts: Record<string, number>;
};

/** A span in milliseconds of `performance.now()`. */
export type Span = {startedAt: number; endedAt: number};

/** How the endpoints answer. */
export type WorkOptions = {
	route: SilentRoute;
	choices: Choices;
	eventMilliseconds: number;
	/** Resolves when the answer to a request may go on. */
	untilAudible: (endpoint: DeploymentEndpoint, body: string) => Promise<void>;
	/** When the process at an address was stopped, so that it could not work. */
	stopsOf?: (address: string) => readonly Span[];
};

/** The time for which an endpoint worked on a request. */
type Work = Span & {address: string};

const firstByteMilliseconds = [40, 400] as const;
/** Time within which an endpoint must have noticed that its stream goes on elsewhere. */
const doubledMilliseconds = 400;

export class SilentWork implements EndpointScript {
	readonly #options: WorkOptions;
	/** How often requests reached an endpoint, by body. */
	readonly #arrivals = new Map<string, number>();
	readonly #works = new Map<string, Work[]>();

	constructor(options: WorkOptions) {
		this.#options = options;
	}

	/** The bodies of the requests whose answers are running. */
	get runningBodies(): string[] {
		return [...this.#works].filter(([, works]) => works.some(({endedAt}) => endedAt === Number.POSITIVE_INFINITY)).map(([body]) => body);
	}

	arrived({target, body}: Arrival): void {
		if (target === pathOf(this.#options.route)) {
			this.#arrivals.set(body, (this.#arrivals.get(body) ?? 0) + 1);
		}
	}

	headers(): Record<string, string> {
		return isPrompt(this.#options.route) ? {[deploymentWireNames.weightVersion]: '1'} : {};
	}

	async run(endpoint: DeploymentEndpoint, arrival: Arrival, response: ServerResponse): Promise<void> {
		const {choices, eventMilliseconds, untilAudible} = this.#options;
		const {body} = arrival;
		if (response.destroyed) {
			return;
		}

		const work: Work = {address: endpoint.address, startedAt: Number.POSITIVE_INFINITY, endedAt: Number.POSITIVE_INFINITY};
		this.#works.set(body, [...this.#works.get(body) ?? [], work]);
		response.once('close', () => {
			work.endedAt = performance.now();
		});
		await delay(choices.between(...firstByteMilliseconds));
		await untilAudible(endpoint, body);
		// An engine runs a request from its first token on; before, the request waits or is prefilled.
		work.startedAt = performance.now();
		endpoint.begin(response, arrival);
		const events = SilentTraffic.eventsOf(body);
		for (let id = 1 + Number(response.req.headers['last-event-id'] ?? 0); id <= events && !response.destroyed; id++) {
			await untilAudible(endpoint, body);
			response.write(SilentTraffic.event(body, id));
			await delay(eventMilliseconds);
		}

		await untilAudible(endpoint, body);
		response.end();
	}

	/**
	 * What the endpoints saw.
	 *
	 * @param traffic - The callers.
	 * @param lines - The log lines of the instances.
	 */
	report({refusedBodies, crossedBodies}: SilentTraffic, lines: ReadonlyArray<Record<string, JsonValue>>): WorkReport {
		return {
			retries: [...this.#arrivals.values()].reduce((sum, count) => sum + count - 1, 0),
			doubled: isStream(this.#options.route) ? [...this.#works.values()].filter(works => this.#isDoubled(works)).length : 0,
			wronglyRefused: refusedBodies.filter(body => this.#arrivals.has(body)).length,
			wronglyClosed: crossedBodies.filter(body => this.#arrivals.has(body)).length,
			failedAttempts: failedAttemptsOf(lines),
		};
	}

	/** Whether a stream was at work at two endpoints at the same time for long. */
	#isDoubled(works: readonly Work[]): boolean {
		return works.some((one, index) => works.slice(index + 1).some(other => {
			const stops = [one, other].flatMap(({address}) => this.#options.stopsOf?.(address) ?? []);
			return millisecondsOutside(stops, {
				startedAt: Math.max(one.startedAt, other.startedAt), endedAt: Math.min(one.endedAt, other.endedAt),
			}) > doubledMilliseconds;
		}));
	}
}

/** Returns the counts of a run that must be 0 and are not. */
export function violationsOf(report: TrafficReport & WorkReport): Partial<TrafficReport & WorkReport> {
	const {cut, unanswered, failed, wrongEvents, doubled, wronglyRefused, wronglyClosed} = report;
	const mustBeZero = {
		cut, unanswered, failed, wrongEvents, doubled, wronglyRefused, wronglyClosed,
	};
	return Object.fromEntries(Object.entries(mustBeZero).filter(([, count]) => count > 0));
}

/** How much of a span lies outside of others, which may overlap. */
function millisecondsOutside(others: readonly Span[], {startedAt, endedAt}: Span): number {
	let from = startedAt;
	let outside = 0;
	for (const other of others.toSorted((one, next) => one.startedAt - next.startedAt)) {
		outside += Math.max(0, Math.min(other.startedAt, endedAt) - from);
		from = Math.max(from, other.endedAt);
	}

	return outside + Math.max(0, endedAt - from);
}

function failedAttemptsOf(lines: ReadonlyArray<Record<string, JsonValue>>): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const {outcome, step, detail} of lines.filter(({kind}) => kind === 'try-failed')) {
		const name = [outcome, step, detail].map(String).join(', ');
		counts[name] = (counts[name] ?? 0) + 1;
	}

	return counts;
}
