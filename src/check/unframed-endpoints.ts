/**
 * The endpoints of the check of unframed answers: these have neither a length nor chunks and end with their connection.
 *
 * A stream that ends between two events cannot be distinguished from a whole one. So each event but the last is sent together with the
 * first bytes of the next one: wherever an endpoint crashes, its streams stop within an event.
 */
import {type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {type Choices} from './choices.js';
import {type Arrival, type DeploymentEndpoint, type EndpointScript} from './deployment-endpoint.js';
import {deploymentWireNames as names} from './gateway-deployment.js';

/**
 * How an answer ends.
 *
 * - `whole`: after its last byte, the connection is closed.
 * - `within-event`: the connection is closed within an event.
 * - `between-events`: it is closed after an event that is not the last one.
 * - `reset`: it is reset before the last byte.
 * - `crash`: the endpoint ends, with all of its answers.
 */
export const answerEndings = ['whole', 'within-event', 'between-events', 'reset', 'crash'] as const;
export type AnswerEnding = typeof answerEndings[number];

/** What a request's body says of its answer. */
export type AnswerPlan = {number: number; events: number; ending: AnswerEnding};

export const plainPath = '/lookup/';

const firstByteMilliseconds = [5, 60] as const;
const eventMilliseconds = 15;
const downMilliseconds = 800;
/** Bytes of an event that are sent with the event before. */
const earlyBytes = 5;

export class UnframedEndpoints implements EndpointScript {
	/** How often each request ran, by body. */
	readonly runs = new Map<string, number>();
	/** The requests of which an answer ended before its last byte, by body. */
	readonly broken = new Set<string>();
	/** When endpoints crashed, in milliseconds of `performance.now()`. */
	readonly crashes: number[] = [];
	/** The answers in flight. */
	readonly #running = new Map<ServerResponse, {endpoint: DeploymentEndpoint; arrival: Arrival}>();
	readonly #choices: Choices;

	constructor(choices: Choices) {
		this.#choices = choices;
	}

	arrived(): void {
		// Requests are counted when they run.
	}

	headers(): Record<string, string> {
		return {[names.weightVersion]: '1'};
	}

	async run(endpoint: DeploymentEndpoint, arrival: Arrival, response: ServerResponse): Promise<void> {
		const {body} = arrival;
		const {ending} = answerPlanOf(body);
		const runs = this.runs.get(body) ?? 0;
		this.runs.set(body, runs + 1);
		let isWhole = false;
		response.once('close', () => {
			this.#running.delete(response);
			if (!isWhole) {
				this.broken.add(body);
			}
		});
		response.useChunkedEncodingByDefault = false;
		this.#running.set(response, {endpoint, arrival});
		await delay(this.#choices.between(...firstByteMilliseconds));
		this.#begin(endpoint, arrival, response);
		isWhole = await this.#write(response, arrival, runs === 0 ? ending : 'whole');
		if (isWhole) {
			this.#running.delete(response);
			response.end();
			return;
		}

		this.broken.add(body);
		if (ending === 'crash') {
			this.#crash(endpoint);
		} else if (ending === 'reset') {
			response.socket?.resetAndDestroy();
		} else {
			response.socket?.end();
		}
	}

	/** Plain answers show only by a reset that they are broken. */
	#crash(endpoint: DeploymentEndpoint): void {
		for (const [response, {arrival: {body, target}}] of [...this.#running].filter(([, running]) => running.endpoint === endpoint)) {
			this.broken.add(body);
			if (target === plainPath) {
				response.socket?.resetAndDestroy();
			}
		}

		this.crashes.push(performance.now());
		void endpoint.crash(downMilliseconds);
	}

	#begin(endpoint: DeploymentEndpoint, arrival: Arrival, response: ServerResponse): void {
		if (arrival.target !== plainPath) {
			endpoint.begin(response, arrival);
			return;
		}

		response.writeHead(200, {[names.attemptId]: String(response.req.headers[names.attemptId]), [names.seal]: 'seal', 'content-type': 'text/plain'});
		response.flushHeaders();
	}

	/** Writes an answer up to where it ends. Returns whether that is its last byte. */
	async #write(response: ServerResponse, {body}: Arrival, ending: AnswerEnding): Promise<boolean> {
		const {events} = answerPlanOf(body);
		const first = 1 + Number(response.req.headers['last-event-id'] ?? 0);
		const last = ending === 'whole' ? events : this.#choices.between(first, events - 1);
		let sent = 0;
		for (let id = first; id <= last; id++) {
			if (response.destroyed) {
				return false;
			}

			const isLast = id === last && ['whole', 'between-events'].includes(ending);
			const text = answerEvent(body, id).slice(sent) + (isLast || id === events ? '' : answerEvent(body, id + 1).slice(0, earlyBytes));
			sent = earlyBytes;
			response.write(text);
			await delay(eventMilliseconds);
		}

		return ending === 'whole' && !response.destroyed;
	}
}

export function answerBody({number, events, ending}: AnswerPlan): string {
	return [number, events, ending].join(' ');
}

export function answerPlanOf(body: string): AnswerPlan {
	const [number, events, ending] = body.split(' ');
	return {number: Number(number), events: Number(events), ending: ending as AnswerEnding};
}

/** One event of the answer to a request. */
export function answerEvent(body: string, id: number): string {
	return `id: ${id}\ndata: piece ${id} of ${body}\n\n`;
}
