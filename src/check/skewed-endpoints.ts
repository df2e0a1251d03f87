/** The endpoints of the check of skewed connections. They count what each request did, and may limit what they take. */
import {type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {type Choices} from './choices.js';
import {type Arrival, type DeploymentEndpoint, type EndpointScript} from './deployment-endpoint.js';
import {deploymentWireNames as names} from './gateway-deployment.js';

/**
 * What the endpoints are like.
 *
 * - `plain`: they take what comes.
 * - `rejecting`: they reject one request in ten, so that it takes a retry.
 * - `limited`: half of them name a limit.
 * - `brittle`: they fall over where they turn away more than they state; half of their slots are used.
 */
export const endpointKinds = ['plain', 'rejecting', 'limited', 'brittle'] as const;
export type EndpointKind = typeof endpointKinds[number];

const eventsOfAnswer = 3;
const workMilliseconds = [5, 60] as const;
const rejectedPercent = 10;
const limitPerSecond = 3;
const slots = 16;
const brittleRoom = 1;
const maxTurnedAway = 5;
const downMilliseconds = 3000;

export class SkewedEndpoints implements EndpointScript {
	readonly arrivals: Arrival[] = [];
	/** How often each request ran, by body. */
	readonly runs = new Map<string, number>();
	falls = 0;
	readonly #kind: EndpointKind;
	readonly #choices: Choices;
	readonly #brittleWorkMilliseconds: number;
	readonly #running = new Map<string, number>();
	readonly #turnedAway = new Map<string, number[]>();
	readonly #limited = new Map<string, boolean>();

	/** @param brittleWorkMilliseconds - How long a request holds a slot of a brittle endpoint. */
	constructor(kind: EndpointKind, choices: Choices, brittleWorkMilliseconds: number) {
		this.#kind = kind;
		this.#choices = choices;
		this.#brittleWorkMilliseconds = brittleWorkMilliseconds;
	}

	arrived(arrival: Arrival): void {
		this.arrivals.push(arrival);
	}

	headers(endpoint: DeploymentEndpoint): Record<string, string> {
		if (this.#kind === 'brittle') {
			return {'server-brittle': String(maxTurnedAway)};
		}

		const isLimited = this.#limited.get(endpoint.name) ?? this.#limited.size % 2 === 0;
		this.#limited.set(endpoint.name, isLimited);
		return this.#kind === 'limited' && isLimited ? {'server-limit': limitPerSecond.toFixed(1)} : {};
	}

	async run(endpoint: DeploymentEndpoint, arrival: Arrival, response: ServerResponse): Promise<void> {
		const running = this.#running.get(endpoint.name) ?? 0;
		if (this.#kind === 'brittle' && running >= slots + brittleRoom) {
			this.#turnAway(endpoint, response);
			return;
		}

		if (this.#kind === 'rejecting' && this.#choices.chance(rejectedPercent)) {
			this.#reject(endpoint, response);
			return;
		}

		this.runs.set(arrival.body, (this.runs.get(arrival.body) ?? 0) + 1);
		this.#running.set(endpoint.name, running + 1);
		await delay(this.#kind === 'brittle' ? this.#brittleWorkMilliseconds : this.#choices.between(...workMilliseconds));
		await endpoint.answer(response, arrival, eventsOfAnswer);
		this.#running.set(endpoint.name, this.#running.get(endpoint.name)! - 1);
	}

	#reject(endpoint: DeploymentEndpoint, response: ServerResponse): void {
		response.writeHead(503, {[names.notExecuted]: '1', ...this.headers(endpoint)});
		response.end();
	}

	#turnAway(endpoint: DeploymentEndpoint, response: ServerResponse): void {
		this.#reject(endpoint, response);
		const now = performance.now();
		const recent = [...(this.#turnedAway.get(endpoint.name) ?? []).filter(at => now - at < 1000), now];
		this.#turnedAway.set(endpoint.name, recent);
		if (recent.length > maxTurnedAway && endpoint.isUp) {
			this.falls++;
			void endpoint.crash(downMilliseconds);
		}
	}
}
