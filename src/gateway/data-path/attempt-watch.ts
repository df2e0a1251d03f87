/** Watches one attempt at an endpoint and cancels it before the caller's timeout where further waiting is useless. */
import {isRetryable} from '../../decision/attempts/next-step.js';
import {olderWeightsDeadline} from '../../decision/placement/older-weights.js';
import {type GatewayContext} from '../gateway-context.js';
import {afterNextPoll} from '../../serving/after-next-poll.js';
import {type OpenExchange} from './endpoint-exchange.js';
import {type AttemptTarget, type AttemptWork} from './attempt-work.js';

/** Why an attempt was cancelled early. */
export type CancelReason = 'silence' | 'older-weights';

/** How often a waiting request checks whether its endpoint has become unresponsive. */
const responsivenessCheckMilliseconds = 200;
/**
 * An engine that generates answers sends some event every few dozen milliseconds. One that has sent none to any caller for
 * this long has stopped. A load of new weights, during which its runs pause, takes less.
 */
const stoppedEngineMilliseconds = 1400;
/** A prompt at an engine with older weights is cancelled this long before the grant ends, so that the engine notices in time. */
const cancelMarginMilliseconds = 250;

export class AttemptWatch {
	readonly #context: GatewayContext;
	readonly #work: AttemptWork;
	readonly #target: AttemptTarget;
	#responsivenessCheck: NodeJS.Timeout | undefined;
	#grantTimer: NodeJS.Timeout | undefined;
	#hasBegun = false;
	#isProbing = false;
	#startedAt = 0;
	#isStopped = false;
	#cancelReason: CancelReason | undefined;

	constructor(context: GatewayContext, work: AttemptWork, target: AttemptTarget) {
		this.#context = context;
		this.#work = work;
		this.#target = target;
	}

	/** Why the attempt was cancelled early; `undefined` if it was not. */
	get cancelReason(): CancelReason | undefined {
		return this.#cancelReason;
	}

	/** Starts to watch a call that was sent. */
	start(exchange: OpenExchange): void {
		this.#startedAt = this.#now();
		this.#watchResponsiveness(exchange);
		this.#watchWeightsGrant(exchange);
	}

	/** Records that the endpoint has begun to answer. */
	noteBegun(): void {
		this.#hasBegun = true;
	}

	stop(): void {
		this.#isStopped = true;
		clearInterval(this.#responsivenessCheck);
		clearTimeout(this.#grantTimer);
	}

	/**
	 * Cancels a request at an endpoint that has become unresponsive. A host that lost power resets no connection, so the caller
	 * would wait until its timeout.
	 *
	 * - An endpoint that is only slow is waited for as long as its service usually takes; one that accepts no connection any more
	 *   is not.
	 * - A call to a plain service is cancelled only if it may be sent to another endpoint, since it may just be slow.
	 * - A prompt is cancelled even if no other engine may be tried, since its caller can retry at once.
	 * - After the first bytes only a resumable stream is cancelled; any other caller would be left with half of an answer.
	 * - An endpoint whose answer waits here for a slow caller is not unresponsive: it is this process that does not read.
	 */
	#watchResponsiveness(exchange: OpenExchange): void {
		const {kind, carriesPrompt} = this.#work.permitted.route;
		if (!isRetryable(kind) || !(this.#target.hasNext || carriesPrompt)) {
			return;
		}

		this.#responsivenessCheck = setInterval(() => {
			void this.#checkResponsiveness(exchange);
		}, responsivenessCheckMilliseconds);
	}

	/**
	 * Decides only after the sockets were polled once more. Timers run before sockets are read, so after a pause of this process
	 * every endpoint would look unresponsive, and every waiting request would run a second time.
	 */
	async #checkResponsiveness(exchange: OpenExchange): Promise<void> {
		if (this.#isUnresponsive()) {
			await afterNextPoll();
			if (!this.#isStopped && this.#isUnresponsive()) {
				this.#noteUnanswered();
				this.#cancel(exchange, 'silence');
			}
		} else if (this.#isSilent() && !this.#isProbing) {
			this.#isProbing = true;
			const isUp = await this.#context.paths.isUp(this.#target.endpoint);
			this.#isProbing = false;
			if (!isUp && !this.#isStopped && this.#isSilent()) {
				this.#cancel(exchange, 'silence');
			}
		}
	}

	/** Requests that are cancelled show too how long answers take; otherwise a service that is slow for all would never be waited for. */
	#noteUnanswered(): void {
		if (!this.#hasBegun) {
			this.#context.placement.noteUnanswered(this.#target.endpoint, this.#now() - this.#startedAt);
		}
	}

	/** Whether a cancellation leads to an answer: a call to a plain service is not cancelled without a retry for it. */
	get #mayBeCancelled(): boolean {
		const {response, splitter, permitted: {route, service}} = this.#work;
		return (!response.headersSent || (splitter !== undefined && !response.writableNeedDrain))
			&& (route.carriesPrompt || this.#context.retryBudget.hasRetry(service, this.#now()));
	}

	#isSilent(): boolean {
		return this.#mayBeCancelled && this.#context.placement.isSilent(this.#target.endpoint, this.#now());
	}

	#isUnresponsive(): boolean {
		return this.#mayBeCancelled && (this.#context.placement.isUnresponsive(this.#target.endpoint, this.#now()) || this.#isEngineStopped());
	}

	/** While no request waits, only the running streams show that an engine has stopped. */
	#isEngineStopped(): boolean {
		const {permitted: {route}} = this.#work;
		return route.carriesPrompt && this.#hasBegun && this.#context.placement.idleMilliseconds(this.#target.endpoint, this.#now()) > stoppedEngineMilliseconds;
	}

	/**
	 * Cancels a prompt that its engine has not begun when the grant ends, the time in which runs may begin on the engine's older
	 * weights. The prompt waited there longer than its placement expected, and must no longer be answered with those weights.
	 */
	#watchWeightsGrant(exchange: OpenExchange): void {
		const {request, endpoint} = this.#target;
		const end = olderWeightsDeadline(request, endpoint);
		if (!Number.isFinite(end)) {
			return;
		}

		this.#grantTimer = setTimeout(() => {
			if (!this.#hasBegun) {
				this.#cancel(exchange, 'older-weights');
			}
		}, Math.max(0, end - cancelMarginMilliseconds - this.#now()));
	}

	#cancel(exchange: OpenExchange, reason: CancelReason): void {
		this.#cancelReason ??= reason;
		exchange.cancel();
	}

	#now(): number {
		return this.#context.clock.moment().steady;
	}
}
