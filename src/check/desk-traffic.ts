/** What checks over the desk's deployment have in common: callers at all instances, and endpoints that fail now and then. */
import {type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {type Choices} from './choices.js';
import {deskPaths} from './desk-deployment.js';
import {type Arrival, type DeploymentEndpoint} from './deployment-endpoint.js';
import {
	type CallerAnswer, deploymentWireNames as names, type GatewayDeployment, type GatewayInstance,
} from './gateway-deployment.js';

const deadlineMilliseconds = 3000;
/** Share of answers that are cut after their first event. */
const cutPercent = 5;

/** Called for each answer, with the instance and when its request was sent, in milliseconds of `performance.now()`. */
type AnswerListener = (answer: CallerAnswer, instance: GatewayInstance, sentAt: number) => void;

export class DeskTraffic {
	requests = 0;
	served = 0;
	readonly #deployment: GatewayDeployment;
	readonly #choices: Choices;
	readonly #onAnswer: AnswerListener | undefined;

	constructor(deployment: GatewayDeployment, choices: Choices, onAnswer?: AnswerListener) {
		this.#deployment = deployment;
		this.#choices = choices;
		this.#onAnswer = onAnswer;
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
		this.requests++;
		const instance = this.#choices.oneOf(this.#deployment.instances);
		const sentAt = performance.now();
		const answer = await this.#deployment.send(instance, {
			path: this.#choices.oneOf(deskPaths), body: `request ${this.requests}`, deadlineMilliseconds,
		});
		this.served += answer.status === 200 && answer.isWhole ? 1 : 0;
		this.#onAnswer?.(answer, instance, sentAt);
	}
}

/** How an endpoint answers. */
export type AnswerConditions = {
	choices: Choices;
	rejectionPercent: number;
	/** Headers of a rejection beside the one that says that the request did not run. */
	rejectionHeaders: () => Record<string, string>;
	/** Longest time to the head of an answer. */
	answerMilliseconds: number;
};

/** Rejects a request, cuts its answer after the first event, or answers it. */
export async function answerUnreliably(endpoint: DeploymentEndpoint, arrival: Arrival, response: ServerResponse, conditions: AnswerConditions): Promise<void> {
	const {choices} = conditions;
	if (choices.chance(conditions.rejectionPercent)) {
		response.writeHead(503, {[names.notExecuted]: '1', ...conditions.rejectionHeaders()});
		response.end();
		return;
	}

	await delay(choices.between(5, conditions.answerMilliseconds));
	if (choices.chance(cutPercent)) {
		endpoint.begin(response, arrival);
		response.write('id: 1\ndata: piece 1\n\n', () => {
			response.destroy();
		});
		return;
	}

	await endpoint.answer(response, arrival, choices.between(2, 25));
}
