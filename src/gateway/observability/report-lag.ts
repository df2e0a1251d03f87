import {type GatewayContext} from '../gateway-context.js';

/** A lag of at least this long is logged. */
const loggedMilliseconds = 200;

/** Counts the time by which the event loop ran a timer late, and logs it if it is long. */
export function reportLag({log, metrics}: Pick<GatewayContext, 'log' | 'metrics'>, lagMilliseconds: number, processorMilliseconds: number): void {
	metrics.eventLoopLate.inc(lagMilliseconds / 1000);
	if (lagMilliseconds >= loggedMilliseconds) {
		log.record('event-loop-late', {milliseconds: Math.round(lagMilliseconds), processorMilliseconds: Math.round(processorMilliseconds)});
	}
}
