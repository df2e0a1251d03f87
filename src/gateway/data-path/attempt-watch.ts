/** Watches one attempt at an endpoint: asks for a replacement when it is silent, and cancels it where further waiting is useless. */
import {eventTimeoutMilliseconds} from '../../decision/attempts/event-timeout.js';
import {isRetryable} from '../../decision/attempts/next-step.js';
import {decideOnSilence, type SilenceStep} from '../../decision/attempts/silent-attempt.js';
import {olderWeightsDeadline} from '../../decision/placement/older-weights.js';
import {type GatewayContext} from '../gateway-context.js';
import {afterNextPoll} from '../../serving/after-next-poll.js';
import {AttemptSilence} from './attempt-silence.js';
import {type OpenExchange} from './endpoint-exchange.js';
import {type AttemptTarget, type AttemptWork} from './attempt-work.js';

/** Why an attempt was cancelled early. */
export type CancelReason = 'abandoned' | 'older-weights';

/** How often an attempt checks whether its endpoint has become silent. */
const checkIntervalMilliseconds = 200;
/** An engine that generates answers sends some event every few dozen milliseconds, so one without any for this long is silent. */
const silentEngineMilliseconds = 700;
/** The same after which its streams are worth a retry elsewhere. A load of new weights, during which its runs pause, takes less. */
const unresponsiveEngineMilliseconds = 1400;
/** A prompt at an engine with older weights is cancelled this long before the grant ends, so that the engine notices in time. */
const cancelMarginMilliseconds = 250;

export class AttemptWatch {
	readonly #context: GatewayContext;
	readonly #work: AttemptWork;
	readonly #target: AttemptTarget;
	readonly #silence: AttemptSilence;
	#interval: NodeJS.Timeout | undefined;
	#grantTimer: NodeJS.Timeout | undefined;
	#hasBegun = false;
	#startedAt = 0;
	#isStopped = false;
	#cancelReason: CancelReason | undefined;

	constructor(context: GatewayContext, work: AttemptWork, target: AttemptTarget) {
		this.#context = context;
		this.#work = work;
		this.#target = target;
		this.#silence = new AttemptSilence(end => {
			context.metrics.silences.inc({end});
		});
	}

	/** Why the attempt was cancelled early; `undefined` if it was not. */
	get cancelReason(): CancelReason | undefined {
		return this.#cancelReason;
	}

	/** The longest silence of the endpoint in milliseconds; `undefined` if there was none. */
	get silentMilliseconds(): number | undefined {
		return this.#silence.longestMilliseconds;
	}

	/** Starts to watch a call that was sent. */
	start(exchange: OpenExchange): void {
		this.#startedAt = this.#now();
		this.#silence.noteBytes(this.#startedAt);
		this.#watchSilence(exchange);
		this.#watchWeightsGrant(exchange);
	}

	/** Records that bytes of the answer arrived, the head among them. */
	noteBytes(): void {
		this.#silence.noteBytes(this.#now());
	}

	/** Records that the endpoint has begun to answer. */
	noteBegun(): void {
		this.#hasBegun = true;
	}

	/**
	 * Records that the attempt was ended without an answer. Such requests show too how long answers take; otherwise a service that
	 * is slow for all would never be waited for.
	 */
	noteUnanswered(): void {
		if (!this.#hasBegun) {
			this.#context.placement.noteUnanswered(this.#target.endpoint, this.#now() - this.#startedAt);
		}
	}

	/** Stops to watch an attempt that has ended, in favour of another one if that has begun to answer. */
	stop(isReplaced: boolean): void {
		this.#isStopped = true;
		this.#silence.noteEnded(isReplaced, this.#now());
		clearInterval(this.#interval);
		clearTimeout(this.#grantTimer);
	}

	/** A request that runs once at most has nowhere else to go, and its answer may come as late as its timeout. */
	#watchSilence(exchange: OpenExchange): void {
		if (!isRetryable(this.#work.permitted.route.kind)) {
			return;
		}

		this.#interval = setInterval(() => {
			void this.#check(exchange);
		}, checkIntervalMilliseconds);
	}

	/**
	 * Acts only after the sockets were polled once more. Timers run before sockets are read, so after a pause of this process every
	 * endpoint would look silent, and every waiting request would run a second time.
	 */
	async #check(exchange: OpenExchange): Promise<void> {
		if (!this.#isReading) {
			// The caller has not read what it has got.
			this.#work.caller.waitsSince = this.#now();
		}

		if (!this.#isSilent() && this.#step() === 'wait') {
			return;
		}

		await afterNextPoll();
		if (!this.#isStopped && this.#isSilent()) {
			this.#silence.noteSilent();
		}

		const step = this.#isStopped ? 'wait' : this.#step();
		switch (step) {
			case 'end-abandoned': {
				this.#cancel(exchange, 'abandoned');
				break;
			}

			case 'replace': {
				this.#target.onSilent();
				break;
			}

			case 'wait': {
				break;
			}
		}
	}

	#step(): SilenceStep {
		const {permitted: {route}, caller} = this.#work;
		return this.#isReading
			? decideOnSilence({
				isUnreachable: this.#context.paths.isUnreachable(this.#target.endpoint),
				isSilent: this.#isSilent(),
				isUnresponsive: this.#isUnresponsive(),
				callerWaitedMilliseconds: this.#now() - caller.waitsSince,
				eventTimeoutMilliseconds: route.kind === 'resumable-stream' ? eventTimeoutMilliseconds(route) : Number.POSITIVE_INFINITY,
			})
			: 'wait';
	}

	/** Whether this process reads what the endpoint sends: an answer that waits here for a slow caller does not show silence. */
	get #isReading(): boolean {
		const {response, splitter} = this.#work;
		return !response.headersSent || (splitter !== undefined && !response.writableNeedDrain);
	}

	#isSilent(): boolean {
		const {placement} = this.#context;
		const {endpoint} = this.#target;
		return this.#isReading && (placement.isSilent(endpoint, this.#now()) || this.#isEngineSilent(silentEngineMilliseconds));
	}

	#isUnresponsive(): boolean {
		return this.#context.placement.isUnresponsive(this.#target.endpoint, this.#now()) || this.#isEngineSilent(unresponsiveEngineMilliseconds);
	}

	/** While no request waits, only the running streams show that an engine is silent. */
	#isEngineSilent(milliseconds: number): boolean {
		const {permitted: {route}} = this.#work;
		return route.carriesPrompt && this.#hasBegun && this.#context.placement.idleMilliseconds(this.#target.endpoint, this.#now()) > milliseconds;
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
			void this.#endGrant(exchange);
		}, Math.max(0, end - cancelMarginMilliseconds - this.#now()));
	}

	/** After a pause of this process the timer runs before the sockets are read, and the first event may wait in one of them. */
	async #endGrant(exchange: OpenExchange): Promise<void> {
		await afterNextPoll();
		if (!this.#hasBegun && !this.#isStopped) {
			this.#cancel(exchange, 'older-weights');
		}
	}

	#cancel(exchange: OpenExchange, reason: CancelReason): void {
		this.#cancelReason ??= reason;
		if (reason !== 'older-weights') {
			this.noteUnanswered();
		}

		exchange.cancel();
	}

	#now(): number {
		return this.#context.clock.moment().steady;
	}
}
