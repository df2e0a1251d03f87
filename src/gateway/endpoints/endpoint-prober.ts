/**
 * Examines, at a steady interval, endpoints that could not be reached, so that no caller's request has to find out whether they
 * are back. A data centre that is cut off would otherwise cost each instance one request for each of its endpoints whenever their
 * circuits close.
 */
import {alignedDelay} from '../../shared/aligned-delay.js';
import {InterruptibleSleep} from '../../shared/interruptible-sleep.js';
import {type Child} from '../../supervisor/supervisor.js';
import {type GatewayContext} from '../gateway-context.js';

/** Interval between two checks for endpoints that are due. */
const checkIntervalMilliseconds = 200;
/**
 * The same while all endpoints are reached. A failed connection ends this wait; the check is for an endpoint that is marked as
 * unreachable without one, as when its process was found to have ended before a connection was established.
 */
const idleCheckIntervalMilliseconds = 600;

export class EndpointProber implements Child {
	readonly name = 'endpoint-prober';
	readonly #context: Pick<GatewayContext, 'clock' | 'paths'>;
	readonly #pause: InterruptibleSleep;
	#isIdle = false;

	constructor(context: Pick<GatewayContext, 'clock' | 'paths'>) {
		this.#context = context;
		this.#pause = new InterruptibleSleep(context.clock);
		context.paths.workChanges.subscribe(() => {
			if (this.#isIdle) {
				this.#pause.interrupt();
			}
		});
	}

	async run(signal: AbortSignal): Promise<void> {
		const {paths} = this.#context;
		while (!signal.aborted) {
			paths.step(this.#now());
			if (!paths.hasWork(this.#now())) {
				this.#isIdle = true;
				await this.#pause.sleep(alignedDelay(this.#now(), idleCheckIntervalMilliseconds), signal);
				this.#isIdle = false;
			}

			// Also right after a failure, since others are likely to follow, and all of them are reported in one line.
			if (paths.hasWork(this.#now())) {
				await this.#pause.sleep(alignedDelay(this.#now(), checkIntervalMilliseconds), signal);
			}
		}
	}

	#now(): number {
		return this.#context.clock.moment().steady;
	}
}
