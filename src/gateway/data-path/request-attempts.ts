/**
 * The attempts of one request that are in flight: the leading one, whose answer is relayed, and one that may replace it.
 *
 * A silent endpoint may have failed or may go on the next moment. So its attempt is not ended until another endpoint has sent the
 * first bytes of an answer's body. The head alone may be sent before the request has begun to run: if that endpoint rejects or
 * breaks off the request, or the silent one goes on first, nothing is lost, and no stream runs at two endpoints.
 */
import {answerProgress} from '../../decision/crashes/answer-progress.js';
import {minRetryMilliseconds} from '../../decision/attempts/next-step.js';
import {type PlacementBasis} from '../../decision/placement/placement.js';
import {hasCallerDisconnected} from '../../serving/has-caller-disconnected.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type GatewayContext} from '../gateway-context.js';
import {type CrashScreen} from './crash-screen.js';
import {type AttemptResult} from './attempt-result.js';
import {EndpointAttempt} from './endpoint-attempt.js';
import {type EndpointSearch, type FoundEndpoint} from './endpoint-search.js';
import {type EventSplitter} from './event-splitter.js';
import {logFailedAttempt} from './log-failed-attempt.js';
import {type RoutedWork} from './routed-work.js';
import {type UnconnectedEndpoints} from './unconnected-endpoints.js';

/** The request, and what its attempts share with the rest of its path. */
export type RequestInProgress = {
	work: RoutedWork;
	/** Present for streams that may be resumed. */
	splitter: EventSplitter | undefined;
	/** When the caller or the route times out, in milliseconds of the steady clock. */
	deadline: number;
	/** The names of the endpoints that the request was sent to; kept up to date. */
	attempted: Set<string>;
	unconnected: UnconnectedEndpoints;
	search: EndpointSearch;
	crashScreen: CrashScreen;
	/** Aborts when the caller disconnects or the deadline passes. */
	signal: AbortSignal;
};

/** An attempt that has ended without a replacement. */
export type EndedAttempt = {endpoint: EndpointRecord; result: AttemptResult};

type RunningAttempt = {
	endpoint: EndpointRecord;
	attempt: EndpointAttempt;
	result: Promise<AttemptResult>;
	hasEnded: boolean;
	/** Chunks of its answer that have arrived. */
	chunks: number;
	/** Whether it was ended because the attempt that it was to replace went on. */
	isSuperseded: boolean;
	/** Called when it leads or has ended. */
	settle: () => void;
};

/** Pause between two searches for a replacement. */
const replacementIntervalMilliseconds = 500;
/** An endpoint that has not answered for longer than this may be as silent as the first one. */
const freshReplacementMilliseconds = 300;

export class RequestAttempts {
	/** Number of endpoints that the request was sent to, by the attempts that have ended. */
	sends = 0;
	/** Whether one of these may have run it. */
	mayHaveRun = false;
	/** The estimates by which the last endpoint was chosen. */
	basis: PlacementBasis | undefined;
	/** When the last attempt was sent, in milliseconds of the steady clock. */
	sentAt: number | undefined;
	/** The longest silence of an endpoint during an attempt that has ended; `undefined` if there was none. */
	silentMilliseconds: number | undefined;
	/** When the first bytes of an answer arrived. */
	firstByteAt: number | undefined;
	readonly #context: GatewayContext;
	readonly #request: RequestInProgress;
	#leading: RunningAttempt | undefined;
	#replacement: RunningAttempt | undefined;
	/** Resolves when the replacement that is under way leads or has ended. */
	#replacing: Promise<void> | undefined;
	#nextReplacementAt = Number.NEGATIVE_INFINITY;

	constructor(context: GatewayContext, request: RequestInProgress) {
		this.#context = context;
		this.#request = request;
	}

	/** Sends the request to an endpoint. Resolves when the attempt, or the last one that has replaced it, has ended. */
	async run(found: FoundEndpoint): Promise<EndedAttempt> {
		this.#leading = this.#start(found);
		for (;;) {
			const leading: RunningAttempt = this.#leading;
			const result = await leading.result;
			await this.#replacing;
			if (this.#leading === leading) {
				// The body of a failure may still be relayed; the timeout and a disconnect of the caller must be able to cancel that too.
				this.#leading = result.outcome === 'failed' ? leading : undefined;
				return {endpoint: leading.endpoint, result};
			}

			this.#logFailed(leading, result, this.#request.work.response.headersSent ? 'resume' : 'repeat');
			result.answer?.discard();
		}
	}

	/** Ends all attempts, so that their endpoints stop their work. */
	cancel(): void {
		this.#leading?.attempt.cancel();
		this.#replacement?.attempt.cancel();
	}

	#start({request, placement: {endpoint, basis}}: FoundEndpoint): RunningAttempt {
		const {work: {head, permitted, body, response, continuation}, splitter, deadline, attempted} = this.#request;
		attempted.add(endpoint.name);
		this.basis = basis;
		this.sentAt = this.#now();
		const attempt = new EndpointAttempt(this.#context, {
			head, permitted, body, response, splitter, deadline,
		}, {
			endpoint,
			request,
			basis,
			onFirstBytes: status => {
				this.firstByteAt ??= this.#now();
				this.#lead(running);
				if (status === 200 && splitter !== undefined) {
					continuation.begin(endpoint);
				}
			},
			onBytes: () => {
				running.chunks++;
				continuation.confirm(endpoint);
				this.#lead(running);
			},
			onSilent: () => {
				this.#lookForReplacement(running);
			},
			mayRelay: () => this.#mayRelay(running),
		});
		const isDirect = !this.#context.paths.isRelayed(endpoint);
		const result = attempt.run().then(ended => {
			this.#account(running, ended, isDirect);
			return ended;
		});
		const running: RunningAttempt = {
			endpoint, attempt, result, hasEnded: false, chunks: 0, isSuperseded: false, settle: ignore,
		};
		if (request.prompt !== undefined) {
			this.#context.peerUpdates.report();
		}

		return running;
	}

	#account(running: RunningAttempt, result: AttemptResult, isDirect: boolean): void {
		const {unconnected, crashScreen} = this.#request;
		running.hasEnded = true;
		if (result.outcome === 'not-sent' && isDirect && !running.isSuperseded) {
			unconnected.add(running.endpoint);
		}

		if (result.isConnectionLost) {
			const {framing, bodyBytes = 0} = result.transfer;
			crashScreen.noteLost(running.endpoint, {
				inFlightMilliseconds: this.#now() - running.attempt.sentAt,
				progress: answerProgress(framing !== undefined, bodyBytes),
			});
		}

		this.sends += result.wasSent ? 1 : 0;
		this.mayHaveRun ||= result.mayHaveRun;
		this.silentMilliseconds = longest(this.silentMilliseconds, result.silentMilliseconds);
		if (this.#replacement === running) {
			this.#replacement = undefined;
			this.#logFailed(running, result, 'wait');
			result.answer?.discard();
		}

		this.#decideOnReplacement(running, result);
		running.settle();
	}

	/** Decides about a replacement that has not answered when the attempt ends that it was to replace. */
	#decideOnReplacement(ended: RunningAttempt, {outcome}: AttemptResult): void {
		const replacement = this.#replacement;
		if (replacement === undefined || ended !== this.#leading) {
			return;
		}

		// A failure that can be passed on is worth more than an endpoint that may be silent too.
		if (outcome === 'whole' || outcome === 'client-left' || (outcome === 'failed' && this.#now() - replacement.attempt.sentAt > freshReplacementMilliseconds)) {
			this.#supersedeReplacement();
		} else {
			this.#takeOver(replacement);
		}
	}

	/** Whether the answer of an attempt may be relayed. The head of the leading one shows that it needs no replacement. */
	#mayRelay(running: RunningAttempt): boolean {
		if (!this.#request.work.continuation.mayRelay(running.endpoint)) {
			return false;
		}

		if (running === this.#leading) {
			this.#supersedeReplacement();
			return true;
		}

		return running === this.#replacement && !this.#request.work.response.writableEnded;
	}

	/** Ends the other attempt when bytes of an answer have arrived, before they are relayed. */
	#lead(running: RunningAttempt): void {
		if (running === this.#replacement) {
			this.#takeOver(running);
		} else {
			this.#supersedeReplacement();
		}
	}

	#takeOver(running: RunningAttempt): void {
		if (!this.#leading?.hasEnded) {
			this.#leading?.attempt.replace();
		}

		this.#leading = running;
		this.#replacement = undefined;
		running.settle();
	}

	/** Ends a replacement that is not needed, since the silent endpoint goes on. */
	#supersedeReplacement(): void {
		const replacement = this.#replacement;
		this.#replacement = undefined;
		if (replacement !== undefined) {
			replacement.isSuperseded = true;
			replacement.attempt.supersede();
		}
	}

	#lookForReplacement(leading: RunningAttempt): void {
		const now = this.#now();
		if (leading !== this.#leading || this.#replacing !== undefined || now < this.#nextReplacementAt || !this.#mayReplace(now)) {
			return;
		}

		this.#nextReplacementAt = now + replacementIntervalMilliseconds;
		this.#replacing = this.#replaceOrLog(leading);
	}

	/** Whether a second endpoint can serve the request from where the caller's answer has come to. */
	#mayReplace(now: number): boolean {
		const {work: {permitted: {route, service}, response}, splitter, deadline} = this.#request;
		const isResumable = !response.headersSent || (splitter?.lastId ?? '') !== '';
		const isWithinLimits = this.sends + 1 < route.maxAttempts && deadline - now >= minRetryMilliseconds;
		return isResumable && isWithinLimits && this.#context.retryBudget.hasRetry(service, now);
	}

	/** An exception must neither end the process nor the request, whose leading attempt goes on. */
	async #replaceOrLog(leading: RunningAttempt): Promise<void> {
		try {
			await this.#replace(leading);
		} catch (error) {
			this.#replacement = undefined;
			this.#context.log.record('fault', {path: 'replacement', id: this.#request.work.head.attemptId, error: String(error)});
		} finally {
			this.#replacing = undefined;
		}
	}

	async #replace(leading: RunningAttempt): Promise<void> {
		const {search, signal, work: {request, permitted: {service}}} = this.#request;
		const {chunks} = leading;
		if (await search.prepare(signal) !== undefined) {
			return;
		}

		const found = await search.find();
		if (found.kind === 'refused' || await hasCallerDisconnected(request, this.#context.eventLoopLag.current)) {
			return;
		}

		const isStillSilent = !leading.hasEnded && leading.chunks === chunks && !signal.aborted;
		if (!isStillSilent || !this.#context.retryBudget.takeRetry(service, this.#now())) {
			return;
		}

		const replacement = this.#start(found);
		this.#replacement = replacement;
		const settled = new Promise<void>(resolve => {
			replacement.settle = resolve;
		});
		await Promise.race([settled, replacement.result]);
	}

	#logFailed({endpoint}: RunningAttempt, result: AttemptResult, step: 'repeat' | 'resume' | 'wait'): void {
		const {work: {head}, crashScreen} = this.#request;
		logFailedAttempt(this.#context.log, {
			id: head.attemptId, endpoint: endpoint.name, result, step, sends: this.sends, fingerprint: () => crashScreen.fingerprint,
		});
	}

	#now(): number {
		return this.#context.clock.moment().steady;
	}
}

function longest(one: number | undefined, other: number | undefined): number | undefined {
	return one === undefined || other === undefined ? one ?? other : Math.max(one, other);
}

function ignore(): void {
	// Nobody waits for this attempt to lead.
}
