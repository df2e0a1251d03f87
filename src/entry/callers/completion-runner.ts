/**
 * Serves one admitted prompt: chooses an endpoint and relays its stream. When the stream breaks, another endpoint continues
 * the answer at the next token. Prompts are idempotent, so an attempt may be retried; the caller receives one answer.
 */
import {cacheSaltOf, promptBlockKeysOf} from '../../cache/block-keys.js';
import {RetryBudget} from '../../decision/limits/retry-budget.js';
import {type EndpointView, type RouteRequest, type RoutingPolicy} from '../../decision/routing/routing-policy.js';
import {
	beginAttempt, emptyAnswer, discardTokens, type RelayState,
} from '../../protocol/stream/stream-relay.js';
import {type Refusal} from '../../shared/types.js';
import {type CachedContext} from '../cache/cached-context.js';
import {type EntryContext} from '../entry-context.js';
import {type AttemptOutcome, type AttemptDependencies, CompletionAttempt} from './completion-attempt.js';
import {type AnswerSink, type CompletionJob} from './completion-job.js';
import {type CompletionUsage} from './completion-writer.js';
import {EndpointBackoff} from './endpoint-backoff.js';
import {failedPromptRefusal} from './failed-prompt-refusal.js';
import {StreamWatchdogs} from './stream-watchdog.js';

const maxAttempts = 4;
const failedRetryMilliseconds = 1000;

/** State of a prompt across its attempts. */
type Progress = {
	relay: RelayState;
	avoid: readonly string[];
	mayHaveRun: boolean;
	detail: string;
};

export class CompletionRunner {
	readonly #context: EntryContext;
	readonly #policy: RoutingPolicy;
	readonly #backoff = new EndpointBackoff();
	readonly #dependencies: AttemptDependencies;
	readonly #salts = new Map<string, string>();
	readonly #retries = new RetryBudget();

	constructor(context: EntryContext, policy: RoutingPolicy, cachedContext: CachedContext) {
		this.#context = context;
		this.#policy = policy;
		this.#dependencies = {
			context, policy, cachedContext, watchdogs: new StreamWatchdogs(context.clock), saltOf: workspace => this.#saltOf(workspace),
		};
	}

	/**
	 * Serves a prompt.
	 *
	 * @param job - The prompt.
	 * @param sink - Receives the text as the engine generates it.
	 * @returns The token usage of the complete answer, or the refusal if there is none.
	 */
	async run(job: CompletionJob, sink: AnswerSink): Promise<CompletionUsage | Refusal> {
		let progress: Progress = {
			relay: emptyAnswer, avoid: [], mayHaveRun: false, detail: 'no endpoint is live',
		};
		const pieceKeys = this.#blockKeys(job);
		const found = await this.#dependencies.cachedContext.find(pieceKeys);
		for (let count = 0; count < maxAttempts && !job.signal.aborted; count++) {
			const route = {...job.route, avoid: progress.avoid, pieceKeys};
			const choice = this.#policy.choose(route, this.#endpointsFor(job, progress), this.#context.clock.now());
			if (choice.kind === 'none') {
				if (progress.relay.tokensPassedOn > 0 && sink.discard()) {
					progress = {...progress, relay: discardTokens(progress.relay)};
					continue;
				}

				return this.#refusalOf(job, progress, choice.retryAfterMilliseconds);
			}

			const plan = {job, route, endpoint: choice.endpoint};
			if (choice.fetch !== undefined) {
				await this.#dependencies.cachedContext.transfer({
					plan: choice.fetch, found, endpoint: choice.endpoint, route,
				}, this.#policy);
			}

			if (await job.hasCallerDisconnected()) {
				break;
			}

			if (count === 0) {
				this.#retries.countAttempt(route.workspace, choice.endpoint.name);
			}

			const attempt = new CompletionAttempt(this.#dependencies, plan, beginAttempt(progress.relay));
			const {outcome, relay} = await attempt.run(sink);
			if (outcome.kind === 'whole') {
				return outcome.usage;
			}

			if (outcome.kind === 'refused') {
				return {reason: 'bad-request', ran: progress.mayHaveRun ? 'unknown' : 'not-run', message: `the model engine refused the prompt with ${outcome.status}`};
			}

			progress = this.#next(progress, {outcome, relay, endpoint: choice.endpoint.name});
			if (outcome.avoid && !this.#retries.takeRetry(route.workspace, choice.endpoint.name)) {
				break;
			}
		}

		return this.#refusalOf(job, progress, failedRetryMilliseconds);
	}

	#next(progress: Progress, {outcome, relay, endpoint}: {outcome: AttemptOutcome & {kind: 'again'}; relay: RelayState; endpoint: string}): Progress {
		if (outcome.backoffMilliseconds !== undefined) {
			this.#backoff.backOff(endpoint, this.#context.clock.now() + outcome.backoffMilliseconds);
		}

		return {
			relay,
			avoid: outcome.avoid ? [...progress.avoid, endpoint] : progress.avoid,
			mayHaveRun: progress.mayHaveRun || outcome.mayHaveRun,
			detail: outcome.detail,
		};
	}

	#refusalOf(job: CompletionJob, progress: Progress, retryAfterMilliseconds: number): Refusal {
		const {relay, mayHaveRun, detail} = progress;
		const names = this.#reachable(job).filter(({service}) => service === job.route.service).map(({name}) => name);
		return failedPromptRefusal({
			relay,
			mayHaveRun,
			detail,
			retryAfterMilliseconds,
			cancelReason: job.signal.aborted ? (job.signal.reason as Error).message : undefined,
			wasAttempted: relay.attempt > 0,
			backoffMilliseconds: this.#backoff.shortestRemainingMilliseconds(names, this.#context.clock.now()),
		});
	}

	/** An answer of which tokens were already passed on continues only on endpoints with the weight version it began with. */
	#endpointsFor(job: CompletionJob, {relay}: Progress): readonly EndpointView[] {
		const reachable = this.#reachable(job);
		if (this.#backoff.isEmpty && relay.tokensPassedOn === 0) {
			return reachable;
		}

		const now = this.#context.clock.now();
		return reachable.filter(endpoint => !this.#backoff.isBackingOff(endpoint.name, now)
			&& (relay.tokensPassedOn === 0 || endpoint.weightVersion === relay.weightVersion));
	}

	#reachable(job: CompletionJob): readonly EndpointView[] {
		const endpoints = this.#context.endpoints.engines();
		return job.dataCentres.length === 0
			? endpoints
			: endpoints.filter(endpoint => job.dataCentres.includes(endpoint.dataCentre));
	}

	#blockKeys(job: CompletionJob): RouteRequest['pieceKeys'] {
		const {workspace, weightVersion} = job.route;
		return promptBlockKeysOf({salt: this.#saltOf(workspace), model: job.request.model, weightVersion}, job.prompt);
	}

	/** A salt does not change during the lifetime of the process. The map holds one salt for each workspace. */
	#saltOf(workspace: string): string {
		const salt = this.#salts.get(workspace) ?? cacheSaltOf(this.#context.settings.cacheSecret, workspace);
		this.#salts.set(workspace, salt);
		return salt;
	}
}
