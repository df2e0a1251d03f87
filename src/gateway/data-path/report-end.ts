/** Tells logs and metrics how a routed request ended, and by what its endpoint was chosen. */
import {type PlacementBasis} from '../../decision/placement/placement.js';
import {type Moment} from '../../ports/moment-clock.js';
import {type JsonValue} from '../../shared/types.js';
import {type GatewayContext} from '../gateway-context.js';
import {type PermittedRequest} from './judge-request.js';
import {type RequestHead} from './request-head.js';

/** How a routed request ended. */
export type RoutedEnd = 'whole' | 'refused' | 'failed' | 'failure-passed-on' | 'broken-off' | 'client-left' | 'timeout';

/** What is told of it. */
export type EndFacts = {
	end: RoutedEnd;
	status: number;
	/** In the order of the tries. */
	endpoints: string[];
	sends: number;
	mayHaveRun: boolean;
	/** By what the last endpoint was chosen. */
	placedBy: PlacementBasis | undefined;
	/** On the steady clock, in milliseconds. */
	firstByteAt: number | undefined;
};

/**
 * Writes one log line and counts the request.
 *
 * @param context - Where the logs and metrics are.
 * @param work - The request.
 * @param facts - How it ended.
 * @param now - Milliseconds of the steady clock.
 */
export function reportEnd({log, metrics}: Pick<GatewayContext, 'log' | 'metrics'>, work: {head: RequestHead; permitted: PermittedRequest; arrivedAt: Moment}, facts: EndFacts, now: number): void {
	const {head, permitted, arrivedAt} = work;
	const {kind} = permitted.route;
	const {end, placedBy, firstByteAt, ...counts} = facts;
	metrics.requests.inc({kind, outcome: end});
	metrics.whole.observe({kind}, (now - arrivedAt.steady) / 1000);
	if (firstByteAt !== undefined) {
		metrics.firstByte.observe({kind}, (firstByteAt - arrivedAt.steady) / 1000);
	}

	log.record('request-ended', {
		id: head.attemptId,
		route: permitted.route.name,
		service: permitted.service,
		outcome: end,
		...counts,
		placedBy: placedBy === undefined ? undefined : loggedBasis(placedBy),
		configurationVersion: permitted.configurationVersion,
		firstByteMilliseconds: firstByteAt === undefined ? undefined : Math.round(firstByteAt - arrivedAt.steady),
		milliseconds: Math.round(now - arrivedAt.steady),
	});
}

/** What a place was chosen by, as it is logged; `null` where the other instances' work was not known. */
function loggedBasis({unreadBefore, costMilliseconds, ...basis}: PlacementBasis): JsonValue {
	return {...basis, unreadBefore: unreadBefore ?? null, costMilliseconds: Math.round(costMilliseconds)};
}
