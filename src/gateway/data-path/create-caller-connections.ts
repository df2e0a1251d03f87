/** Creates the limits on callers' connections of a gateway, with their log lines and metrics. */
import {CallerConnections} from '../../serving/caller-connections.js';
import {type GatewayContext} from '../gateway-context.js';

/** A crowd uses up the time of many turns in a second. */
const minReportMilliseconds = 1000;

/**
 * Creates the limits.
 *
 * @param context - The clock, and where outcomes are reported.
 * @param capacity - How many connections callers and their requests may hold.
 */
export function createCallerConnections({clock, log, metrics}: Pick<GatewayContext, 'clock' | 'log' | 'metrics'>, capacity: number): CallerConnections {
	let reportedAt = Number.NEGATIVE_INFINITY;
	const connections = new CallerConnections(capacity, () => clock.moment().steady, {
		onLimited(report) {
			metrics.connectionOutcomes.inc({reason: report.outcome});
			log.record('connection-limited', report);
		},
		onHeldBack(count) {
			metrics.heldBackReads.inc();
			const now = clock.moment().steady;
			if (now - reportedAt >= minReportMilliseconds) {
				reportedAt = now;
				log.record('connections-held-back', {connections: count});
			}
		},
	});
	metrics.readConnections = () => connections.state;
	return connections;
}
