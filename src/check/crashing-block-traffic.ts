/** The callers of the check of crashing prompt blocks: of sound prompts, and of those that hold a crashing block. */
import {randomBytes} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {type JsonValue} from '../shared/types.js';
import {type Choices} from './choices.js';
import {type BlockConditions, type CrashingBlock} from './crashing-block-conditions.js';
import {type SoundRequest} from './crashing-block-judgement.js';
import {
	companionBlock, drawCrashingPrompt, drawSoundPrompt, promptBody, promptHeaderValues, type PromptPlan,
} from './crashing-block-prompts.js';
import {
	type CallerAnswer, deploymentWireNames as names, type GatewayDeployment, type GatewayInstance, host,
} from './gateway-deployment.js';

export const promptModel = 'model-1';
const route = {
	host, kind: 'stream', sticky: true, timeout_ms: 4000, target_latency_ms: 600, gap_aim_ms: 800,
};
const oneAttemptPath = '/once/';
const resumablePath = '/resumable/';
const paths = [resumablePath, resumablePath, oneAttemptPath] as const;
const deadlineMilliseconds = 3500;
const soundPerSecond = 25;
const soundTries = 3;
/** Statuses that promise that the request has not run. */
const refusalStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const refusalCode = 'crashes-endpoints';
const longestPauseMilliseconds = 400;

/** The routes of the traffic, which carry prompts to engines of a service. */
export function promptRoutes(service: string): JsonValue[] {
	return [
		{
			...route, service, name: 'once', prefix: oneAttemptPath, max_attempts: 1,
		},
		{
			...route, service, name: 'resumable', prefix: resumablePath, resumable: true, max_attempts: 3,
		},
	];
}

export type CrashingBlockTrafficDependencies = {
	deployment: GatewayDeployment;
	choices: Choices;
	conditions: BlockConditions;
	isInTouch(instance: GatewayInstance): boolean;
};

export class CrashingBlockTraffic {
	readonly sound: SoundRequest[] = [];
	/** Sends of requests that hold a crashing block, and those of them that were refused for it. */
	crashingSends = 0;
	crashingRefused = 0;
	/** The attempts on the route with one attempt that were answered with a promise that they have not run. */
	readonly refusedAttempts: string[] = [];
	readonly #dependencies: CrashingBlockTrafficDependencies;
	/** The crashing request, where all of them are alike. */
	#repeated: {plan: PromptPlan; path: string} | undefined;
	#numbers = 0;

	constructor(dependencies: CrashingBlockTrafficDependencies) {
		this.#dependencies = dependencies;
	}

	/** Sends requests from one time of `performance.now()` until another, and waits for all answers. */
	async send(startedAt: number, endsAt: number): Promise<void> {
		const {conditions, choices} = this.#dependencies;
		await Promise.all([
			repeatUntil(endsAt, 1000 / soundPerSecond, async () => this.#sendSound(startedAt)),
			repeatUntil(endsAt, conditions.crashingPauseMilliseconds, async () => {
				const elapsed = performance.now() - startedAt;
				const coming = conditions.crashingBlocks.filter(({comesAt}) => elapsed >= comesAt);
				await (coming.length === 0 ? undefined : this.#sendCrashing(choices.oneOf(coming)));
			}),
		]);
	}

	/** A caller of a sound prompt: it tries again elsewhere where the kind of request, or the refusal, allows it. */
	async #sendSound(startedAt: number): Promise<void> {
		const {choices, conditions, isInTouch} = this.#dependencies;
		const sentAt = performance.now();
		const plan = drawSoundPrompt(choices, conditions, this.#nextNumber(), sentAt - startedAt);
		const path = this.#path();
		let instance = this.#otherThan(undefined);
		const request: SoundRequest = {
			number: plan.number, blocks: plan.blocks, sentAt, isInTouch: isInTouch(instance), hasCompanion: plan.blocks.includes(companionBlock), hasBegun: false, isServed: false, refusedAt: [],
		};
		this.sound.push(request);
		for (let tries = 1; tries <= soundTries; tries++) {
			const answer = await this.#sendPlan(instance, path, plan);
			request.isServed = answer.status === 200 && answer.isWhole;
			request.hasBegun ||= tries === 1 && answer.status === 200 && answer.body !== '';
			if (answer.body.includes(refusalCode)) {
				request.refusedAt.push(instance.name);
			}

			if (request.isServed || (path === oneAttemptPath && !refusalStatuses.has(answer.status))) {
				return;
			}

			await delay(choices.between(50, longestPauseMilliseconds));
			instance = this.#otherThan(instance);
		}
	}

	async #sendCrashing(block: CrashingBlock): Promise<void> {
		const {choices, conditions} = this.#dependencies;
		const request = this.#repeated ?? {plan: drawCrashingPrompt(choices, conditions, this.#nextNumber(), block), path: this.#path()};
		this.#repeated = conditions.areAlike ? request : undefined;
		const {plan, path} = request;
		let instance = this.#otherThan(undefined);
		for (let tries = 0; tries <= conditions.returns; tries++) {
			this.crashingSends++;
			const answer = await this.#sendPlan(instance, path, plan);
			this.crashingRefused += answer.body.includes(refusalCode) ? 1 : 0;
			if (answer.status === 200 && answer.isWhole) {
				return;
			}

			await delay(choices.between(50, longestPauseMilliseconds));
			instance = this.#otherThan(instance);
		}
	}

	async #sendPlan(instance: GatewayInstance, path: string, plan: PromptPlan): Promise<CallerAnswer> {
		const {tokenCount, promptParts} = promptHeaderValues(plan);
		const attempt = randomBytes(8).toString('hex');
		const answer = await this.#dependencies.deployment.send(instance, {
			path,
			body: promptBody(plan),
			deadlineMilliseconds,
			headers: {
				[names.attemptId]: attempt, [names.model]: promptModel, [names.tokenCount]: tokenCount, [names.promptParts]: promptParts,
			},
		});
		if (path === oneAttemptPath && refusalStatuses.has(answer.status)) {
			this.refusedAttempts.push(attempt);
		}

		return answer;
	}

	#otherThan(former: GatewayInstance | undefined): GatewayInstance {
		const {deployment, choices} = this.#dependencies;
		return choices.oneOf(deployment.instances.filter(instance => instance !== former));
	}

	#path(): string {
		const {choices, conditions} = this.#dependencies;
		return conditions.hasOneAttempt ? oneAttemptPath : choices.oneOf(paths);
	}

	#nextNumber(): number {
		this.#numbers++;
		return this.#numbers;
	}
}

async function repeatUntil(endsAt: number, pauseMilliseconds: number, step: () => Promise<void>): Promise<void> {
	const running: Array<Promise<void>> = [];
	while (performance.now() < endsAt) {
		running.push(step());
		await delay(pauseMilliseconds);
	}

	await Promise.all(running);
}
