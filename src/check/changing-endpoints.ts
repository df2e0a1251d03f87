/**
 * The endpoints of the check of configuration changes: they answer in all framings, and note what they did with each request, by
 * its attempt id.
 */
import {type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {type Choices} from './choices.js';
import {type DeploymentEndpoint, type EndpointScript} from './deployment-endpoint.js';
import {deploymentWireNames as names} from './gateway-deployment.js';

/** What marks the end of an answer. */
export const framings = ['chunks', 'length', 'connection'] as const;
export type Framing = (typeof framings)[number];

/** A request, as its body describes it. */
export type DescribedRequest = {
	number: number;
	events: number;
	framing: Framing;
	isStream: boolean;
	/** A pause in the answer, and the event after which it comes; 0 for one before the head. */
	pauseMilliseconds: number;
	pausesAfter: number;
};

/** A prompt block under which endpoints end as they begin to answer. */
export const crashingBlock = 'cc';

const firstByteMilliseconds = [10, 250] as const;
const eventMilliseconds = 35;
const crashMilliseconds = [400, 1500] as const;

/** What endpoints did with a request. */
export type EndpointRecordOfRequest = {
	/** How often it was received. */
	arrivals: number;
	/** How often an endpoint began to work on it. */
	runs: number;
	/** Whether an endpoint ended meanwhile. */
	wasBrokenOff: boolean;
};

/** The body of a request, which says how it is to be answered. */
export function bodyOf({number, events, framing, isStream, pauseMilliseconds, pausesAfter}: DescribedRequest, padding: number): string {
	return `${number} ${events} ${framing} ${isStream ? 'stream' : 'plain'} ${pauseMilliseconds} ${pausesAfter} ${'.'.repeat(padding)}`;
}

/** The whole answer to a request, from the event after `lastId` on. */
export function answerTo(request: DescribedRequest, lastId = 0): string {
	return Array.from({length: request.events - lastId}, (_, index) => eventOf(request, lastId + index + 1)).join('');
}

export class ChangingEndpoints implements EndpointScript {
	readonly #choices: Choices;
	readonly #records = new Map<string, EndpointRecordOfRequest>();

	constructor(choices: Choices) {
		this.#choices = choices;
	}

	/** What endpoints did with a request. */
	recordOf(attemptId: string): EndpointRecordOfRequest {
		const record = this.#records.get(attemptId) ?? {arrivals: 0, runs: 0, wasBrokenOff: false};
		this.#records.set(attemptId, record);
		return record;
	}

	arrived(): void {
		// Requests are counted when they are run; one that names another endpoint is not.
	}

	headers(): Record<string, string> {
		return {};
	}

	async run(endpoint: DeploymentEndpoint, {body}: {body: string}, response: ServerResponse): Promise<void> {
		const {headers} = response.req;
		const record = this.recordOf(String(headers[names.attemptId]));
		record.arrivals++;
		const {name} = endpoint;
		response.once('close', () => {
			record.wasBrokenOff ||= !response.writableFinished && (!endpoint.isUp || endpoint.name !== name);
		});
		const request = requestOf(body);
		await delay(this.#choices.between(...firstByteMilliseconds) + (request.pausesAfter === 0 ? request.pauseMilliseconds : 0));
		await endpoint.untilAudible();
		if (response.destroyed) {
			return;
		}

		record.runs++;
		if (String(headers[names.promptParts]).includes(`${crashingBlock}:`)) {
			response.flushHeaders();
			void endpoint.crash(this.#choices.between(...crashMilliseconds), {resetsConnections: true});
			return;
		}

		await this.#answer(endpoint, request, response);
	}

	async #answer(endpoint: DeploymentEndpoint, request: DescribedRequest, response: ServerResponse): Promise<void> {
		const {headers} = response.req;
		const lastId = Number(headers['last-event-id'] ?? 0);
		// Node then frames an answer without a length by the end of its connection.
		response.useChunkedEncodingByDefault = request.framing !== 'connection';
		response.writeHead(200, {
			[names.attemptId]: String(headers[names.attemptId]),
			[names.seal]: 'seal',
			'content-type': request.isStream ? 'text/event-stream' : 'text/plain',
			...(headers[names.model] === undefined ? {} : {[names.weightVersion]: '1'}),
			...(request.framing === 'length' ? {'content-length': answerTo(request, lastId).length} : {}),
		});
		response.flushHeaders();
		for (let id = lastId + 1; id <= request.events && !response.destroyed; id++) {
			await endpoint.untilAudible();
			response.write(eventOf(request, id));
			await delay(eventMilliseconds + (request.pausesAfter === id ? request.pauseMilliseconds : 0));
		}

		await endpoint.untilAudible();
		response.end();
	}
}

function requestOf(body: string): DescribedRequest {
	const [number, events, framing, kind, pause, pausesAfter] = body.split(' ');
	return {
		number: Number(number), events: Number(events), framing: framing as Framing, isStream: kind === 'stream', pauseMilliseconds: Number(pause), pausesAfter: Number(pausesAfter),
	};
}

function eventOf({number}: DescribedRequest, id: number): string {
	return `id: ${id}\ndata: piece ${id} of ${number}\n\n`;
}
