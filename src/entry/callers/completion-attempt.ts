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
import {type KeptContext} from '../kept/kept-context.js';
import {type AnswerSink, type CompletionJob} from './completion-job.js';
import {type CompletionUsage} from './completion-writer.js';
import {
	firstTokenLimit, StreamWatch, type StreamWatches, tokenSilenceMilliseconds, unheardSilenceMilliseconds,
} from './stream-watch.js';

/** How an attempt ended. `refused` is final: every endpoint would reject this prompt. `again` allows another attempt. */
export type AttemptOutcome
	= | {kind: 'whole'; usage: CompletionUsage}
		| {kind: 'refused'; status: number}
		| {kind: 'again'; avoid: boolean; mayHaveRun: boolean; detail: string; holdMilliseconds?: number};

/** The prompt to send and the endpoint that it is sent to. */
export type AttemptPlan = {job: CompletionJob; route: RouteRequest; endpoint: EndpointView};

/** Statuses with which an engine rejects the prompt itself. Another endpoint of the same model would reject it too. */
const finalStatuses: ReadonlySet<number> = new Set([400, 413, 422]);

/** Dependencies that all attempts of an instance share. */
export type AttemptParts = {
	context: EntryContext;
	policy: RoutingPolicy;
	watches: StreamWatches;
	kept: KeptContext;
	/** Returns the cache salt of a workspace. */
	saltOf: (workspace: string) => string;
};

const silenceReason = new Error('the engine or the caller became unresponsive');
const overReason = new Error('the attempt has ended');

export class CompletionAttempt {
	readonly #parts: AttemptParts;
	readonly #context: EntryContext;
	readonly #policy: RoutingPolicy;
	readonly #plan: AttemptPlan;
	readonly #sentAt: number;
	readonly #watch: StreamWatch;
	#state: RelayState;

	constructor(parts: AttemptParts, plan: AttemptPlan, relay: RelayState) {
		const {context, policy} = parts;
		this.#parts = parts;
		this.#context = context;
		this.#policy = policy;
		this.#plan = plan;
		this.#state = relay;
		this.#sentAt = context.clock.now();
		this.#watch = new StreamWatch(context.clock, () => this.#silenceLimit());
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
		this.#parts.watches.add(this.#watch, silent => {
			attempt.abort(silenceReason);
			if (silent === 'caller') {
				sink.abandon();
			}
		});
		const outcome = await this.#follow(attempt.signal, sink);
		this.#parts.watches.remove(this.#watch);
		if (outcome.kind !== 'whole') {
			attempt.abort(overReason);
		}

		job.signal.removeEventListener('abort', stop);
		this.#end(outcome);
		return {outcome, relay: this.#state};
	}

	async #follow(signal: AbortSignal, sink: AnswerSink): Promise<AttemptOutcome> {
		const {endpoint} = this.#plan;
		for await (const event of this.#context.engine.complete(endpoint.address, this.#call(), signal)) {
			this.#watch.waitFor('caller');
			const outcome = event.isLeft() ? this.#judge(event.extract()) : await this.#take(event, sink);
			if (outcome !== undefined) {
				return outcome;
			}

			this.#watch.waitFor('engine');
		}

		return {
			kind: 'again', avoid: true, mayHaveRun: true, detail: 'the stream ended early',
		};
	}

	async #take(event: Either<EngineFailure, EngineEvent>, sink: AnswerSink): Promise<AttemptOutcome | undefined> {
		const isFirst = this.#state.tokensPassedOn === 0;
		const {state, action} = relayEvent(this.#state, this.#state.attempt, event.extract() as EngineEvent);
		this.#state = state;
		switch (action.kind) {
			case 'pass-on': {
				if (isFirst) {
					this.#firstToken();
				}

				await sink.pass(action.text);
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

	#judge(failure: EngineFailure): AttemptOutcome {
		switch (failure.kind) {
			case 'version-swapped': {
				this.#context.endpoints.takeVersion(this.#plan.endpoint.name, failure.weightVersion);
				return {
					kind: 'again', avoid: false, mayHaveRun: false, detail: 'the endpoint runs another weight version now',
				};
			}

			case 'refused': {
				return this.#judgeRefusal(failure);
			}

			case 'not-sent': {
				return {
					kind: 'again', avoid: true, mayHaveRun: false, detail: 'the endpoint could not be reached',
				};
			}

			case 'broken': {
				const detail = this.#watch.silent === 'engine' ? 'the endpoint became unresponsive' : 'the stream broke';
				return {
					kind: 'again', avoid: true, mayHaveRun: true, detail,
				};
			}
		}
	}

	#judgeRefusal({status, retryAfterMilliseconds}: EngineFailure & {kind: 'refused'}): AttemptOutcome {
		if (finalStatuses.has(status) && this.#state.tokensPassedOn === 0) {
			return {kind: 'refused', status};
		}

		return {
			kind: 'again',
			avoid: true,
			mayHaveRun: false,
			detail: `the endpoint refused with ${status}`,
			...(retryAfterMilliseconds === undefined ? {} : {holdMilliseconds: retryAfterMilliseconds}),
		};
	}

	/** If the endpoint's load reports are missing as well, the whole endpoint hangs, and a shorter timeout applies. */
	#silenceLimit(): number {
		const {endpoint, route} = this.#plan;
		const known = this.#context.endpoints.engines().find(({name}) => name === endpoint.name);
		const isHeard = known !== undefined && this.#context.clock.now() - known.heardAt <= unresponsiveAfterMilliseconds;
		if (!isHeard) {
			return unheardSilenceMilliseconds;
		}

		return this.#state.tokensPassedOn > 0 ? tokenSilenceMilliseconds : firstTokenLimit(known.load, route.promptTokens);
	}

	#call(): EngineCall {
		const {job, endpoint, route} = this.#plan;
		return {
			requestId: route.requestId,
			attempt: this.#state.attempt,
			shape: job.request.shape,
			body: job.request.body,
			cacheSalt: this.#parts.saltOf(route.workspace),
			priority: route.priority,
			weightVersion: endpoint.weightVersion,
			tokensPassedOn: this.#state.tokensPassedOn,
		};
	}

	#firstToken(): void {
		const {job, endpoint, route} = this.#plan;
		const now = this.#context.clock.now();
		this.#policy.observe({
			kind: 'first-token', endpoint: endpoint.name, request: route, afterMilliseconds: now - this.#sentAt,
		}, now);
		this.#parts.kept.prefilled(route, endpoint);
		this.#record('first-token');
		this.#context.metrics.report('request.time_to_first_token', now - job.arrivedAt, {priority: route.priority, service: route.service});
	}

	#end(outcome: AttemptOutcome): void {
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
