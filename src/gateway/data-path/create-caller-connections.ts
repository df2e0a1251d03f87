/** Creates the limits on callers' connections of a gateway, with their log lines and metrics. */
import {CallerConnections} from '../../serving/caller-connections.js';
import {type GatewayContext} from '../gateway-context.js';

/**
 * Creates the limits.
 *
 * @param context - The clock, and where outcomes are reported.
 * @param capacity - How many connections callers and their requests may hold.
 */
export function createCallerConnections({clock, log, metrics}: Pick<GatewayContext, 'clock' | 'log' | 'metrics'>, capacity: number): CallerConnections {
	const connections = new CallerConnections(capacity, () => clock.moment().steady, {
		onLimited(report) {
			metrics.connectionOutcomes.inc({reason: report.outcome});
			log.record('connection-limited', report);
		},
	});
	metrics.readConnections = () => connections.state;
	return connections;
}
