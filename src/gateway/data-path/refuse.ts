/** Sends and counts the refusals of a gateway. */
import {type ServerResponse} from 'node:http';
import {sendRefusal, statusOfReason} from '../../serving/send-refusal.js';
import {type Refusal} from '../../shared/types.js';
import {type GatewayMetrics} from '../observability/gateway-metrics.js';

/** Answers a request with a refusal immediately and returns the status. */
export type Refuse = (response: ServerResponse, refusal: Refusal) => number;

/**
 * Creates the function that refuses requests.
 *
 * `Retry-After` is written in fractions of a second: the callers of short requests have only a few seconds left, and rounding
 * up to whole seconds would use them up.
 *
 * @param metrics - Where refusals are counted.
 */
export function createRefuse(metrics: GatewayMetrics): Refuse {
	return (response, refusal) => {
		metrics.refusals.inc({reason: refusal.reason});
		const {retryAfterMilliseconds} = refusal;
		const headers = retryAfterMilliseconds === undefined ? {} : {headers: {'retry-after': (retryAfterMilliseconds / 1000).toFixed(2)}};
		sendRefusal(response, refusal, headers);
		return statusOfReason[refusal.reason];
	};
}
