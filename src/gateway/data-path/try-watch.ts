/** Watches one try at an endpoint, and gives it up before the caller's time is over where waiting on helps nobody. */
import {isRepeatable} from '../../decision/attempts/next-step.js';
import {grantEnd} from '../../decision/placement/older-weights.js';
import {type GatewayContext} from '../gateway-context.js';
import {afterNextPoll} from '../../serving/after-next-poll.js';
import {type OpenExchange} from './endpoint-exchange.js';
import {type TryTarget, type TryWork} from './try-work.js';

/** Why a try was given up. */
export type GivenUpFor = 'silence' | 'older-weights';

/** How often a waiting request looks whether its endpoint has fallen silent. */
const silenceCheckMilliseconds = 200;
/**
 * An engine that writes answers sends some event every few dozen milliseconds. One that has sent none to anybody for so long
 * has stopped; a load of new weights, during which its runs pause, takes less.
 */
const stoppedEngineMilliseconds = 1400;
/** A prompt is taken back from an engine with older weights this long before the grant ends: the way to the engine. */
const takeBackMilliseconds = 250;

export class TryWatch {
	readonly #context: GatewayContext;
	readonly #work: TryWork;
	readonly #target: TryTarget;
	#silenceCheck: NodeJS.Timeout | undefined;
	#grantEnd: NodeJS.Timeout | undefined;
	#hasBegun = false;
	#isStopped = false;
	#givenUpFor: GivenUpFor | undefined;

	constructor(context: GatewayContext, work: TryWork, target: TryTarget) {
		this.#context = context;
		this.#work = work;
		this.#target = target;
	}

	/** Why the try was given up; absent if it was not. */
	get givenUpFor(): GivenUpFor | undefined {
		return this.#givenUpFor;
	}

	/** Begins to watch a call that was sent. */
	start(exchange: OpenExchange): void {
		this.#watchForSilence(exchange);
		this.#watchGrantOfWeights(exchange);
	}

	/** Notes that the endpoint has begun to answer. */
	noteBegun(): void {
		this.#hasBegun = true;
	}

	stop(): void {
		this.#isStopped = true;
		clearInterval(this.#silenceCheck);
		clearTimeout(this.#grantEnd);
	}

	/**
	 * Gives up a request at an endpoint that has become unresponsive: one that lost its power resets no connection, and the
	 * caller would wait until the timeout. A call to a plain service is given up only if it may be sent elsewhere, since it may
	 * just be slow. A prompt is given up also where no other engine may be tried: its caller can come back at once. After the
	 * first bytes only a stream that may be resumed is given up; any other caller would be left with half of an answer. An
	 * endpoint whose answer waits here for a slow caller is not unresponsive: it is this process that does not read.
	 */
	#watchForSilence(exchange: OpenExchange): void {
		const {kind, carriesPrompt} = this.#work.permitted.route;
		if (!isRepeatable(kind) || !(this.#target.hasNext || carriesPrompt)) {
			return;
		}

		this.#silenceCheck = setInterval(() => {
			void this.#checkSilence(exchange);
		}, silenceCheckMilliseconds);
	}

	/**
	 * Timers run before sockets are read. Judged at once, every endpoint would look unresponsive after a pause of this process,
	 * and every request that waits would run a second time.
	 */
	async #checkSilence(exchange: OpenExchange): Promise<void> {
		if (this.#isSilent()) {
			await afterNextPoll();
			if (!this.#isStopped && this.#isSilent()) {
				this.#giveUp(exchange, 'silence');
			}
		}
	}

	#isSilent(): boolean {
		const {response, cutter} = this.#work;
		const mayBeGivenUp = !response.headersSent || (cutter !== undefined && !response.writableNeedDrain);
		return mayBeGivenUp && (this.#context.placement.isSilent(this.#target.endpoint, this.#now()) || this.#isEngineStopped());
	}

	/** With no request waiting, only the running streams show that an engine has stopped. */
	#isEngineStopped(): boolean {
		const {permitted: {route}} = this.#work;
		return route.carriesPrompt && this.#hasBegun && this.#context.placement.idleMilliseconds(this.#target.endpoint, this.#now()) > stoppedEngineMilliseconds;
	}

	/**
	 * Takes a prompt back that its engine has not begun when the time ends in which runs may begin on the engine's older
	 * weights. It waited there longer than placing had reckoned; an answer on those weights must not come any more.
	 */
	#watchGrantOfWeights(exchange: OpenExchange): void {
		const {request, endpoint} = this.#target;
		const end = grantEnd(request, endpoint);
		if (!Number.isFinite(end)) {
			return;
		}

		this.#grantEnd = setTimeout(() => {
			if (!this.#hasBegun) {
				this.#giveUp(exchange, 'older-weights');
			}
		}, Math.max(0, end - takeBackMilliseconds - this.#now()));
	}

	#giveUp(exchange: OpenExchange, reason: GivenUpFor): void {
		this.#givenUpFor ??= reason;
		exchange.cancel();
	}

	#now(): number {
		return this.#context.clock.moment().steady;
	}
}
