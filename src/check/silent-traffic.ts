/** The callers of the check of silent endpoints: they send requests, and judge what they get. */
import {setTimeout as delay} from 'node:timers/promises';
import {type Choices} from './choices.js';
import {type CallerAnswer, deploymentWireNames as names, type GatewayDeployment} from './gateway-deployment.js';
import {type KeptCallers} from './kept-callers.js';

/** What the callers got. */
export type TrafficReport = {
	sent: number;
	/** Complete answers with all events, each once. */
	whole: number;
	/** Answers that began and ended incomplete. */
	cut: number;
	/** Requests whose connection ended without an answer. */
	unanswered: number;
	/** Answers with a failure that does not say that the request has not run. */
	failed: number;
	/** Complete answers in which events are missing or come twice. */
	wrongEvents: number;
	/** Requests on kept connections that the instance closed as they were on their way. */
	crossed: number;
	/** All answers other than complete ones, by status. */
	otherAnswers: Record<string, number>;
};

/** Where the requests go. */
export type TrafficTarget = {
	path: string;
	deadlineMilliseconds: number;
	/** Set if the requests carry prompts. */
	model: string | undefined;
	/** The fewest and the most events of an answer. */
	eventsOfAnswer: readonly [minimum: number, maximum: number];
	/** Set if the callers keep their connections. */
	keptCallers?: KeptCallers;
};

const sessions = 8;
const sharedTokens = 400;
const ownTokens = [20, 120] as const;
/** Statuses that promise that the request has not run and never will. */
const refusalStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

export class SilentTraffic {
	/** The number of events of the answer to a request with this body. */
	static eventsOf(body: string): number {
		return Number(body.split(' ').at(-1));
	}

	/** One event of the answer to a request with this body. */
	static event(body: string, id: number): string {
		return `id: ${id}\ndata: piece ${id} of ${body}\n\n`;
	}

	readonly report: TrafficReport = {
		sent: 0, whole: 0, cut: 0, unanswered: 0, failed: 0, wrongEvents: 0, crossed: 0, otherAnswers: {},
	};

	/** The bodies of the requests that were refused as not run. */
	readonly refusedBodies: string[] = [];
	/** The bodies of the requests that crossed the close of their connection. */
	readonly crossedBodies: string[] = [];
	readonly #deployment: GatewayDeployment;
	readonly #choices: Choices;
	readonly #target: TrafficTarget;

	constructor(deployment: GatewayDeployment, choices: Choices, target: TrafficTarget) {
		this.#deployment = deployment;
		this.#choices = choices;
		this.#target = target;
	}

	/** Sends requests at a steady rate until a time of `performance.now()`, and waits for all answers. */
	async sendUntil(endsAt: number, requestsPerSecond: number): Promise<void> {
		const sent: Array<Promise<void>> = [];
		while (performance.now() < endsAt) {
			sent.push(this.#send());
			await delay(1000 / requestsPerSecond);
		}

		await Promise.all(sent);
	}

	async #send(): Promise<void> {
		this.report.sent++;
		const {path, deadlineMilliseconds, model, eventsOfAnswer, keptCallers} = this.#target;
		const body = `request ${this.report.sent} ${this.#choices.between(...eventsOfAnswer)}`;
		const headers = model === undefined ? {} : this.#promptHeaders(model);
		const instance = this.#choices.oneOf(this.#deployment.instances);
		const request = {
			path, body, deadlineMilliseconds, headers,
		};
		const answer = await (keptCallers?.send(instance, request) ?? this.#deployment.send(instance, request));
		if ('crossedClose' in answer && answer.crossedClose) {
			this.report.crossed++;
			this.crossedBodies.push(body);
		} else {
			this.#judge(body, answer);
		}
	}

	#promptHeaders(model: string): Record<string, string> {
		const tokens = this.#choices.between(...ownTokens);
		return {
			[names.model]: model,
			[names.tokenCount]: `${sharedTokens + tokens},${this.#target.eventsOfAnswer[1]}`,
			[names.promptParts]: `a${this.#choices.between(1, sessions)}:${sharedTokens},b${this.report.sent}:${tokens}`,
		};
	}

	#judge(body: string, {status, isWhole, body: received}: CallerAnswer): void {
		if (status === 200) {
			const expected = Array.from({length: SilentTraffic.eventsOf(body)}, (_, index) => SilentTraffic.event(body, index + 1)).join('');
			const outcome = received === expected ? 'whole' : 'wrongEvents';
			this.report[isWhole ? outcome : 'cut']++;
			return;
		}

		this.report.otherAnswers[status] = (this.report.otherAnswers[status] ?? 0) + 1;
		if (status === 0) {
			this.report.unanswered++;
		} else if (refusalStatuses.has(status)) {
			this.refusedBodies.push(body);
		} else {
			this.report.failed++;
		}
	}
}
