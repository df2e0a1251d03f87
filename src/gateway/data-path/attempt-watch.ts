/** Watches one attempt at an endpoint: asks for a replacement while it is silent, and ends it where no answer can come any more. */
import {type AttemptEnd, decideOnSilence, type SilenceStep} from '../../decision/attempts/attempt-end.js';
import {isRetryable} from '../../decision/attempts/next-step.js';
import {olderWeightsDeadline} from '../../decision/placement/older-weights.js';
import {afterNextPoll} from '../../serving/after-next-poll.js';
import {hasSuccessor} from '../endpoints/has-successor.js';
import {type GatewayContext} from '../gateway-context.js';
import {AttemptSilence} from './attempt-silence.js';
import {type AttemptTarget, type AttemptWork} from './attempt-work.js';

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
	readonly #end: (reason: AttemptEnd) => void;
	readonly #silence: AttemptSilence;
	#interval: NodeJS.Timeout | undefined;
	#grantTimer: NodeJS.Timeout | undefined;
	#hasBegun = false;
	#startedAt = 0;
	#isStopped = false;

	/** @param end - Ends the attempt. */
	constructor(context: GatewayContext, work: AttemptWork, target: AttemptTarget, end: (reason: AttemptEnd) => void) {
		this.#context = context;
		this.#work = work;
		this.#target = target;
		this.#end = end;
		this.#silence = new AttemptSilence(silenceEnd => {
			context.metrics.silences.inc({end: silenceEnd});
		});
	}

	/** The longest silence of the endpoint in milliseconds; `undefined` if there was none. */
	get silentMilliseconds(): number | undefined {
		return this.#silence.longestMilliseconds;
	}

	/** Starts to watch a call that was sent. */
	start(): void {
		this.#startedAt = this.#now();
		this.#silence.noteBytes(this.#startedAt);
		this.#interval = setInterval(() => {
			if (this.#isSilent()) {
				void this.#check();
			}
		}, checkIntervalMilliseconds);
		this.#watchWeightsGrant();
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

	/**
	 * Acts only after the sockets were polled once more. Timers run before sockets are read, so after a pause of this process every
	 * endpoint would look silent, and every waiting request would run a second time.
	 */
	async #check(): Promise<void> {
		await afterNextPoll();
		if (this.#isStopped || !this.#isSilent()) {
			return;
		}

		this.#silence.noteSilent();
		switch (this.#step()) {
			case 'end': {
				this.noteUnanswered();
				this.#end('process-ended');
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
		const {placement, paths, endpoints} = this.#context;
		const {endpoint} = this.#target;
		return decideOnSilence({
			hasProcessEnded: hasSuccessor(endpoints, endpoint, this.#startedAt),
			isUnresponsive: placement.isUnresponsive(endpoint, this.#now()) || this.#isEngineSilent(unresponsiveEngineMilliseconds),
			isUnreachable: paths.isUnreachable(endpoint),
			isRetryable: isRetryable(this.#work.permitted.route.kind),
		});
	}

	/** Whether this process reads what the endpoint sends: an answer that waits here for a slow caller does not show silence. */
	get #isReading(): boolean {
		const {response} = this.#work;
		if (this.#context.memory?.isHeldBack(response)) {
			return false;
		}

		return !response.headersSent || !response.writableNeedDrain;
	}

	#isSilent(): boolean {
		const {placement} = this.#context;
		const {endpoint} = this.#target;
		return this.#isReading && (placement.isSilent(endpoint, this.#now()) || this.#isEngineSilent(silentEngineMilliseconds));
	}

	/** While no request waits, only the running streams show that an engine is silent. */
	#isEngineSilent(milliseconds: number): boolean {
		const {placement} = this.#context;
		const {endpoint} = this.#target;
		const idleMilliseconds = this.#work.permitted.route.carriesPrompt && this.#hasBegun ? placement.idleMilliseconds(endpoint, this.#now()) : 0;
		return idleMilliseconds > milliseconds && idleMilliseconds > milliseconds * placement.silenceFactor(endpoint, this.#now());
	}

	/**
	 * Cancels a prompt that its engine has not begun when the grant ends, the time in which runs may begin on the engine's older
	 * weights. The prompt waited there longer than its placement expected, and must no longer be answered with those weights.
	 */
	#watchWeightsGrant(): void {
		const {request, endpoint} = this.#target;
		const end = olderWeightsDeadline(request, endpoint);
		if (!Number.isFinite(end)) {
			return;
		}

		this.#grantTimer = setTimeout(() => {
			void this.#endGrant();
		}, Math.max(0, end - cancelMarginMilliseconds - this.#now()));
	}

	/** After a pause of this process the timer runs before the sockets are read, and the first event may wait in one of them. */
	async #endGrant(): Promise<void> {
		await afterNextPoll();
		if (!this.#hasBegun && !this.#isStopped) {
			this.#end('older-weights');
		}
	}

	#now(): number {
		return this.#context.clock.moment().steady;
	}
}
