/**
 * One attempt at a prompt: sends it to one endpoint, relays the answer to the caller, and reports the outcome to the
 * routing policy and the timeline.
 */
import {type Either} from 'purify-ts/Either';
import {unresponsiveAfterMilliseconds} from '../../decision/routing/is-candidate.js';
import {type EndpointView, type RouteRequest, type RoutingPolicy} from '../../decision/routing/routing-policy.js';
import {type EngineCall, type EngineEvent, type EngineFailure} from '../../ports/model-engine.js';
import {relayEvent, type RelayState} from '../../protocol/stream/stream-relay.js';
import {type EntryContext} from '../entry-context.js';
import {type CachedContext} from '../cache/cached-context.js';
import {type AnswerSink, type CompletionJob} from './completion-job.js';
import {type CompletionUsage} from './completion-writer.js';
import {
	firstTokenTimeout, StreamWatchdog, type StreamWatchdogs, tokenTimeoutMilliseconds, unresponsiveEndpointTimeoutMilliseconds,
} from './stream-watchdog.js';

/** How an attempt ended. `refused` is final: every endpoint would reject this prompt. `again` allows another attempt. */
export type AttemptOutcome
	= | {kind: 'whole'; usage: CompletionUsage}
		| {kind: 'refused'; status: number}
		| {kind: 'again'; avoid: boolean; mayHaveRun: boolean; detail: string; backoffMilliseconds?: number};

/** The prompt to send and the endpoint that it is sent to. */
export type AttemptPlan = {job: CompletionJob; route: RouteRequest; endpoint: EndpointView};

/** Statuses with which an engine rejects the prompt itself. Another endpoint of the same model would reject it too. */
const finalStatuses: ReadonlySet<number> = new Set([400, 413, 422]);

/** Dependencies that all attempts of an instance share. */
export type AttemptDependencies = {
	context: EntryContext;
	policy: RoutingPolicy;
	watchdogs: StreamWatchdogs;
	cachedContext: CachedContext;
	/** Returns the cache salt of a workspace. */
	saltOf: (workspace: string) => string;
};

const unresponsiveReason = new Error('the engine or the caller became unresponsive');
const endedReason = new Error('the attempt has ended');

export class CompletionAttempt {
	readonly #dependencies: AttemptDependencies;
	readonly #context: EntryContext;
	readonly #policy: RoutingPolicy;
	readonly #plan: AttemptPlan;
	readonly #sentAt: number;
	readonly #watchdog: StreamWatchdog;
	#state: RelayState;

	constructor(dependencies: AttemptDependencies, plan: AttemptPlan, relay: RelayState) {
		const {context, policy} = dependencies;
		this.#dependencies = dependencies;
		this.#context = context;
		this.#policy = policy;
		this.#plan = plan;
		this.#state = relay;
		this.#sentAt = context.clock.now();
		this.#watchdog = new StreamWatchdog(context.clock, () => this.#engineTimeout());
	}

	/** Runs the attempt; returns its outcome and how much of the answer was relayed. */
	async run(sink: AnswerSink): Promise<{outcome: AttemptOutcome; relay: RelayState}> {
		const {job, endpoint, route} = this.#plan;
		this.#policy.observe({kind: 'sent', endpoint: endpoint.name, request: route}, this.#sentAt);
		this.#record('attempt-sent');
		const attempt = new AbortController();
		const stop = (): void => {
			attempt.abort(job.signal.reason);
		};

		job.signal.addEventListener('abort', stop);
		this.#dependencies.watchdogs.add(this.#watchdog, side => {
			attempt.abort(unresponsiveReason);
			if (side === 'caller') {
				sink.disconnect();
			}
		});
		const outcome = await this.#relay(attempt.signal, sink);
		this.#dependencies.watchdogs.remove(this.#watchdog);
		if (outcome.kind !== 'whole') {
			attempt.abort(endedReason);
		}

		job.signal.removeEventListener('abort', stop);
		this.#reportEnd(outcome);
		return {outcome, relay: this.#state};
	}

	async #relay(signal: AbortSignal, sink: AnswerSink): Promise<AttemptOutcome> {
		const {endpoint} = this.#plan;
		for await (const event of this.#context.engine.complete(endpoint.address, this.#call(), signal)) {
			this.#watchdog.waitFor('caller');
			const outcome = event.isLeft() ? this.#classifyFailure(event.extract()) : await this.#handleEvent(event, sink);
			if (outcome !== undefined) {
				return outcome;
			}

			this.#watchdog.waitFor('engine');
		}

		return {
			kind: 'again', avoid: true, mayHaveRun: true, detail: 'the stream ended early',
		};
	}

	async #handleEvent(event: Either<EngineFailure, EngineEvent>, sink: AnswerSink): Promise<AttemptOutcome | undefined> {
		const isFirst = this.#state.tokensPassedOn === 0;
		const {state, action} = relayEvent(this.#state, this.#state.attempt, event.extract() as EngineEvent);
		this.#state = state;
		switch (action.kind) {
			case 'pass-on': {
				if (isFirst) {
					this.#reportFirstToken();
				}

				await sink.write(action.text);
				return undefined;
			}

			case 'whole': {
				return {kind: 'whole', usage: {...action, completionTokens: state.tokensPassedOn}};
			}

			case 'restart': {
				return {
					kind: 'again', avoid: true, mayHaveRun: true, detail: action.detail,
				};
			}

			case 'drop': {
				return undefined;
			}
		}
	}

	#classifyFailure(failure: EngineFailure): AttemptOutcome {
		switch (failure.kind) {
			case 'version-swapped': {
				this.#context.endpoints.applyVersion(this.#plan.endpoint.name, failure.weightVersion);
				return {
					kind: 'again', avoid: false, mayHaveRun: false, detail: 'the endpoint runs another weight version now',
				};
			}

			case 'refused': {
				return this.#classifyRejection(failure);
			}

			case 'not-sent': {
				return {
					kind: 'again', avoid: true, mayHaveRun: false, detail: 'the endpoint could not be reached',
				};
			}

			case 'broken': {
				const detail = this.#watchdog.unresponsiveSide === 'engine' ? 'the endpoint became unresponsive' : 'the stream broke';
				return {
					kind: 'again', avoid: true, mayHaveRun: true, detail,
				};
			}
		}
	}

	#classifyRejection({status, retryAfterMilliseconds}: EngineFailure & {kind: 'refused'}): AttemptOutcome {
		if (finalStatuses.has(status) && this.#state.tokensPassedOn === 0) {
			return {kind: 'refused', status};
		}

		return {
			kind: 'again',
			avoid: true,
			mayHaveRun: false,
			detail: `the endpoint refused with ${status}`,
			...(retryAfterMilliseconds === undefined ? {} : {backoffMilliseconds: retryAfterMilliseconds}),
		};
	}

	/** If the endpoint's load reports are missing as well, the whole endpoint hangs, and a shorter timeout applies. */
	#engineTimeout(): number {
		const {endpoint, route} = this.#plan;
		const known = this.#context.endpoints.engines().find(({name}) => name === endpoint.name);
		const isResponsive = known !== undefined && this.#context.clock.now() - known.heardAt <= unresponsiveAfterMilliseconds;
		if (!isResponsive) {
			return unresponsiveEndpointTimeoutMilliseconds;
		}

		return this.#state.tokensPassedOn > 0 ? tokenTimeoutMilliseconds : firstTokenTimeout(known.load, route.promptTokens);
	}

	#call(): EngineCall {
		const {job, endpoint, route} = this.#plan;
		return {
			requestId: route.requestId,
			attempt: this.#state.attempt,
			shape: job.request.shape,
			body: job.request.body,
			cacheSalt: this.#dependencies.saltOf(route.workspace),
			priority: route.priority,
			weightVersion: endpoint.weightVersion,
			tokensPassedOn: this.#state.tokensPassedOn,
		};
	}

	#reportFirstToken(): void {
		const {job, endpoint, route} = this.#plan;
		const now = this.#context.clock.now();
		this.#policy.observe({
			kind: 'first-token', endpoint: endpoint.name, request: route, afterMilliseconds: now - this.#sentAt,
		}, now);
		this.#dependencies.cachedContext.prefilled(route, endpoint);
		this.#record('first-token');
		this.#context.metrics.report('request.time_to_first_token', now - job.arrivedAt, {priority: route.priority, service: route.service});
	}

	#reportEnd(outcome: AttemptOutcome): void {
		const {job, endpoint, route} = this.#plan;
		// A rejected prompt or a swap of weights does not count as a failure of the endpoint. Otherwise a single caller with
		// invalid prompts could open the circuits of all endpoints.
		const failed = !job.signal.aborted && outcome.kind === 'again' && outcome.avoid ? 'failed' : 'cancelled';
		this.#policy.observe({
			kind: 'ended',
			endpoint: endpoint.name,
			request: route,
			outcome: outcome.kind === 'whole' ? 'whole' : failed,
			cachedTokens: outcome.kind === 'whole' ? outcome.usage.cachedTokens : 0,
		}, this.#context.clock.now());
		if (outcome.kind !== 'whole') {
			this.#record('attempt-failed', outcome.kind === 'refused' ? `refused with ${outcome.status}` : outcome.detail);
		}
	}

	#record(kind: 'attempt-sent' | 'attempt-failed' | 'first-token', detail?: string): void {
		const {endpoint, route} = this.#plan;
		this.#context.timeline.record({
			kind,
			at: this.#context.clock.now(),
			requestId: route.requestId,
			attempt: this.#state.attempt,
			workspace: route.workspace,
			endpoint: endpoint.name,
			...(detail === undefined ? {} : {detail}),
		});
	}
}
