import {type GatewayContext} from '../gateway-context.js';

/** A longer lag gets a line in the log. */
const loggedMilliseconds = 200;

/** Tells logs and metrics how late the event loop ran a timer. */
export function reportLag({log, metrics}: Pick<GatewayContext, 'log' | 'metrics'>, lagMilliseconds: number): void {
	metrics.eventLoopLate.inc(lagMilliseconds / 1000);
	if (lagMilliseconds >= loggedMilliseconds) {
		log.record('event-loop-late', {milliseconds: Math.round(lagMilliseconds)});
	}
}
