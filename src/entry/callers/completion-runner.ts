/**
 * Serves one admitted prompt: chooses an endpoint, relays its stream, and goes on at another endpoint from the token
 * that is due when a stream breaks. Prompts are idempotent, so an attempt may be repeated; the caller sees one answer.
 */
import {type Either} from 'purify-ts/Either';
import {cacheSaltOf, pieceKeysOf} from '../../cache/piece-keys.js';
import {
	type EndpointView, type RouteRequest, type RoutingPolicy,
} from '../../decision/routing/routing-policy.js';
import {type EngineCall, type EngineEvent, type EngineFailure} from '../../ports/model-engine.js';
import {
	beginAttempt, emptyAnswer, relayEvent, type RelayState,
} from '../../protocol/stream/stream-relay.js';
import {type Refusal} from '../../shared/types.js';
import {type EntryContext} from '../entry-context.js';
import {type CompletionUsage} from './completion-writer.js';
import {type CompletionRequest} from './completion-request.js';

const attemptLimit = 4;
const failedRetryMilliseconds = 1000;

/** One prompt to serve. */
export type CompletionJob = {
	request: CompletionRequest;
	route: Omit<RouteRequest, 'avoid' | 'pieceKeys'>;
	dataCentres: readonly string[];
	prompt: string;
	arrivedAt: number;
	/** Aborts when the caller hangs up. */
	signal: AbortSignal;
};

/** Where the answer goes. */
export type AnswerSink = {
	pass(text: string): Promise<void>;
};

type AttemptOutcome = {kind: 'whole'; usage: CompletionUsage} | {kind: 'again'; avoid: boolean; detail: string; retryAfterMilliseconds?: number};

export class CompletionRunner {
	readonly #context: EntryContext;
	readonly #policy: RoutingPolicy;

	constructor(context: EntryContext, policy: RoutingPolicy) {
		this.#context = context;
		this.#policy = policy;
	}

	/**
	 * Serves a prompt.
	 *
	 * @param job - The prompt.
	 * @param sink - Gets the text as it comes.
	 * @returns The figures of the whole answer, or why there is none.
	 */
	async run(job: CompletionJob, sink: AnswerSink): Promise<CompletionUsage | Refusal> {
		let relay = emptyAnswer;
		let avoid: readonly string[] = [];
		let lastDetail = 'no endpoint is live';
		for (let count = 0; count < attemptLimit && !job.signal.aborted; count++) {
			const route = {...job.route, avoid, pieceKeys: this.#pieceKeys(job)};
			const choice = this.#policy.choose(route, this.#endpointsFor(job), this.#context.clock.now());
			if (choice.kind === 'none') {
				return giveUp(relay, {reason: 'no-endpoint', detail: lastDetail, retryAfterMilliseconds: choice.retryAfterMilliseconds});
			}

			relay = beginAttempt(relay);
			const attempt = new Attempt(this.#context, this.#policy, {job, route, endpoint: choice.endpoint});
			const {outcome, relay: reached} = await attempt.run(relay, sink);
			relay = reached;
			if (outcome.kind === 'whole') {
				return outcome.usage;
			}

			lastDetail = outcome.detail;
			avoid = outcome.avoid ? [...avoid, choice.endpoint.name] : avoid;
		}

		return giveUp(relay, {reason: 'endpoint-failed', detail: lastDetail, retryAfterMilliseconds: failedRetryMilliseconds});
	}

	#endpointsFor(job: CompletionJob): readonly EndpointView[] {
		const endpoints = this.#context.endpoints.engines();
		return job.dataCentres.length === 0
			? endpoints
			: endpoints.filter(endpoint => job.dataCentres.includes(endpoint.dataCentre));
	}

	#pieceKeys(job: CompletionJob): string[] {
		const {workspace, weightVersion} = job.route;
		const salt = cacheSaltOf(this.#context.settings.cacheSecret, workspace);
		return pieceKeysOf({salt, model: job.request.model, weightVersion}, job.prompt);
	}
}

type AttemptPlan = {job: CompletionJob; route: RouteRequest; endpoint: EndpointView};

/** One attempt at one endpoint. */
class Attempt {
	readonly #context: EntryContext;
	readonly #policy: RoutingPolicy;
	readonly #plan: AttemptPlan;
	readonly #sentAt: number;

	constructor(context: EntryContext, policy: RoutingPolicy, plan: AttemptPlan) {
		this.#context = context;
		this.#policy = policy;
		this.#plan = plan;
		this.#sentAt = context.clock.now();
	}

	async run(relay: RelayState, sink: AnswerSink): Promise<{outcome: AttemptOutcome; relay: RelayState}> {
		const {job, endpoint, route} = this.#plan;
		this.#policy.observe({kind: 'sent', endpoint: endpoint.name, request: route}, this.#sentAt);
		this.#record('attempt-sent', relay.attempt);
		const stop = new AbortController();
		const signal = AbortSignal.any([job.signal, stop.signal]);
		let state = relay;
		let outcome: AttemptOutcome = {kind: 'again', avoid: true, detail: 'the stream ended early'};
		for await (const event of this.#context.engine.complete(endpoint.address, this.#call(relay), signal)) {
			const step = await this.#take(event, state, sink);
			state = step.state;
			if (step.outcome !== undefined) {
				outcome = step.outcome;
				break;
			}
		}

		stop.abort();
		this.#end(relay.attempt, outcome);
		return {outcome, relay: state};
	}

	async #take(event: Either<EngineFailure, EngineEvent>, state: RelayState, sink: AnswerSink): Promise<{state: RelayState; outcome?: AttemptOutcome}> {
		if (event.isLeft()) {
			return {state, outcome: this.#judge(event.extract())};
		}

		const {state: next, action} = relayEvent(state, state.attempt, event.extract() as EngineEvent);
		switch (action.kind) {
			case 'pass-on': {
				if (state.tokensPassedOn === 0) {
					this.#firstToken(state.attempt);
				}

				await sink.pass(action.text);
				return {state: next};
			}

			case 'whole': {
				return {state: next, outcome: {kind: 'whole', usage: {...action, completionTokens: next.tokensPassedOn}}};
			}

			case 'restart': {
				return {state: next, outcome: {kind: 'again', avoid: true, detail: action.detail}};
			}

			case 'drop': {
				return {state: next};
			}
		}
	}

	#judge(failure: EngineFailure): AttemptOutcome {
		if (failure.kind === 'version-swapped') {
			this.#context.endpoints.takeVersion(this.#plan.endpoint.name, failure.weightVersion);
			return {kind: 'again', avoid: false, detail: 'the endpoint runs another weight version now'};
		}

		return {kind: 'again', avoid: true, detail: failure.kind === 'refused' ? `refused with ${failure.status}` : failure.kind};
	}

	#call(relay: RelayState): EngineCall {
		const {job, endpoint, route} = this.#plan;
		return {
			requestId: route.requestId,
			attempt: relay.attempt,
			shape: job.request.shape,
			body: job.request.body,
			cacheSalt: cacheSaltOf(this.#context.settings.cacheSecret, route.workspace),
			priority: route.priority,
			weightVersion: endpoint.weightVersion,
			tokensPassedOn: relay.tokensPassedOn,
		};
	}

	#firstToken(attempt: number): void {
		const {job, endpoint, route} = this.#plan;
		const now = this.#context.clock.now();
		this.#policy.observe({
			kind: 'first-token', endpoint: endpoint.name, request: route, afterMilliseconds: now - this.#sentAt,
		}, now);
		this.#record('first-token', attempt);
		this.#context.metrics.report('request.time_to_first_token', now - job.arrivedAt, {priority: route.priority, service: route.service});
	}

	#end(attempt: number, outcome: AttemptOutcome): void {
		const {job, endpoint, route} = this.#plan;
		const failed = job.signal.aborted ? 'cancelled' : 'failed';
		this.#policy.observe({
			kind: 'ended',
			endpoint: endpoint.name,
			request: route,
			outcome: outcome.kind === 'whole' ? 'whole' : failed,
			cachedTokens: outcome.kind === 'whole' ? outcome.usage.cachedTokens : 0,
		}, this.#context.clock.now());
		if (outcome.kind !== 'whole') {
			this.#record('attempt-failed', attempt, outcome.detail);
		}
	}

	#record(kind: 'attempt-sent' | 'attempt-failed' | 'first-token', attempt: number, detail?: string): void {
		const {endpoint, route} = this.#plan;
		this.#context.timeline.record({
			kind, at: this.#context.clock.now(), requestId: route.requestId, attempt, workspace: route.workspace, endpoint: endpoint.name, ...(detail === undefined ? {} : {detail}),
		});
	}
}

/** The final word on a prompt that cannot be served: a typed error in the stream, or a refusal before it. */
function giveUp(relay: RelayState, cause: {reason: 'no-endpoint' | 'endpoint-failed'; detail: string; retryAfterMilliseconds: number}): Refusal {
	const {detail, retryAfterMilliseconds} = cause;
	if (relay.tokensPassedOn > 0) {
		return {
			reason: 'stream-cut', ran: 'unknown', message: `the answer could not be finished: ${detail}`, retryAfterMilliseconds,
		};
	}

	const ran = relay.attempt === 0 ? 'not-run' : 'unknown';
	return {
		reason: cause.reason, ran, message: `the prompt could not be served: ${detail}`, retryAfterMilliseconds,
	};
}
