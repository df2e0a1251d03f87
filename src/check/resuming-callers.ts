/**
 * Callers of streams that may be resumed: after a broken answer they take the stream up at another instance, after the last
 * event that they have, and name the attempt that brought the first one.
 */
import {randomBytes} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {type Choices} from './choices.js';
import {
	type CallerAnswer, deploymentWireNames as names, type GatewayDeployment, type GatewayInstance,
} from './gateway-deployment.js';

/** One try of a caller. */
export type StreamTry = {
	instance: string;
	/** The event after which it takes the stream up; 0 for the start. */
	after: number;
	status: number;
	/** Why it was refused. */
	code: string | undefined;
	/** The software versions that made the events that it got, each once. */
	versions: string[];
	events: number;
};

/** One stream, over all tries of its caller. */
export type CallerStream = {
	tries: StreamTry[];
	/** The ids of all events that the caller got, in order. */
	ids: number[];
	/** How many events the stream has. */
	length: number;
	isWhole: boolean;
};

export const returnPlaces = ['anywhere', 'data-centre'] as const;
/** Which other instances a caller comes back to: any, or those of the data centre in which it began. */
export type ReturnPlace = typeof returnPlaces[number];

export type ResumingCallersOptions = {
	streamsPerSecond: number;
	/** Share of the streams that their endpoint breaks off. */
	breakPercent: number;
	returnsTo: ReturnPlace;
	/** The whole time of a caller, over all of its tries. */
	callerMilliseconds: number;
};

const path = '/resumable/';
const maxTries = 6;
/** Callers with more time than this try until it is over. */
const shortMilliseconds = 6000;
const deadlineMilliseconds = 3500;
const fewestEvents = 8;
const mostEvents = 40;
/** Share of broken streams that are broken off twice. */
const secondBreakPercent = 25;
const defaultPauseMilliseconds = 100;
const longestPauseMilliseconds = 1000;

export class ResumingCallers {
	readonly streams: CallerStream[] = [];
	readonly #deployment: GatewayDeployment;
	readonly #choices: Choices;
	readonly #options: ResumingCallersOptions;

	constructor(deployment: GatewayDeployment, choices: Choices, options: ResumingCallersOptions) {
		this.#deployment = deployment;
		this.#choices = choices;
		this.#options = options;
	}

	/** Begins streams at a steady rate until a time of `performance.now()`, and waits for their ends. */
	async sendUntil(endsAt: number): Promise<void> {
		const {streamsPerSecond, breakPercent} = this.#options;
		const sent: Array<Promise<void>> = [];
		while (performance.now() < endsAt) {
			const length = this.#choices.between(fewestEvents, mostEvents);
			const brokenTries = this.#choices.chance(breakPercent) ? 1 + Number(this.#choices.chance(secondBreakPercent)) : 0;
			sent.push(this.#follow(streamBody({number: sent.length, length, breaks: brokenTries}), length));
			await delay(1000 / streamsPerSecond);
		}

		await Promise.all(sent);
	}

	async #follow(body: string, length: number): Promise<void> {
		const stream: CallerStream = {
			tries: [], ids: [], length, isWhole: false,
		};
		this.streams.push(stream);
		const {callerMilliseconds} = this.#options;
		const givesUpAt = performance.now() + callerMilliseconds;
		const triesAllowed = callerMilliseconds > shortMilliseconds ? Number.POSITIVE_INFINITY : maxTries;
		let firstAttempt: string | undefined;
		let instance: GatewayInstance | undefined;
		while (!stream.isWhole && stream.tries.length < triesAllowed && performance.now() < givesUpAt) {
			instance = this.#otherThan(instance);
			const attempt = randomBytes(8).toString('hex');
			const answer = await this.#deployment.send(instance, {
				path, body, deadlineMilliseconds: Math.min(deadlineMilliseconds, Math.max(1, givesUpAt - performance.now())), headers: headersOf(attempt, stream.ids.at(-1), firstAttempt),
			});
			addTry(stream, instance.name, answer);
			firstAttempt ??= stream.ids.length > 0 ? attempt : undefined;
			if (!stream.isWhole && (stream.tries.at(-1)?.events ?? 0) === 0) {
				await delay(Math.min(longestPauseMilliseconds, answer.retryAfterSeconds === undefined ? defaultPauseMilliseconds : answer.retryAfterSeconds * 1000));
			}
		}
	}

	#otherThan(former: GatewayInstance | undefined): GatewayInstance {
		const others = this.#deployment.instances.filter(instance => instance !== former);
		const mayReturnTo = others.filter(({dataCentre}) => this.#options.returnsTo === 'anywhere' || former === undefined || dataCentre === former.dataCentre);
		return this.#choices.oneOf(mayReturnTo);
	}
}

/** What a request's body says of its stream: its number, its length, and how often its endpoint breaks it off. */
export type StreamPlan = {number: number; length: number; breaks: number};

export function streamBody({number, length, breaks}: StreamPlan): string {
	return [number, length, breaks].join(' ');
}

export function streamPlanOf(body: string): StreamPlan {
	const [number = 0, length = 0, breaks = 0] = body.split(' ').map(Number);
	return {number, length, breaks};
}

/** One event, with the software version that made it. */
export function eventText(id: number, version: string): string {
	return `id: ${id}\ndata: ${version}\n\n`;
}

function headersOf(attempt: string, lastId: number | undefined, firstAttempt: string | undefined): Record<string, string> {
	return {
		[names.attemptId]: attempt,
		...(lastId === undefined ? {} : {[names.lastEventId]: String(lastId)}),
		...(firstAttempt === undefined ? {} : {[names.resumes]: firstAttempt}),
	};
}

function addTry(stream: CallerStream, instance: string, {status, isWhole, body}: CallerAnswer): void {
	const events = status === 200 ? [...body.matchAll(/id: (?<id>\d+)\ndata: (?<version>\S*)\n\n/gv)].map(({groups}) => groups!) : [];
	stream.tries.push({
		instance,
		after: stream.ids.at(-1) ?? 0,
		status,
		code: /"code":"(?<code>[^"]+)"/v.exec(body)?.groups?.code,
		versions: [...new Set(events.map(({version}) => version!))],
		events: events.length,
	});
	stream.ids.push(...events.map(({id}) => Number(id)));
	stream.isWhole = status === 200 && isWhole;
}
