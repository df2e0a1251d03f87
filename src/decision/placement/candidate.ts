/** What a placement weighs: an endpoint with its estimates, and when costs count as equal. */
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type PlacementBasis} from './placement.js';

/**
 * Where the coordinator is far away or unresponsive, what instances know of each other's load is some hundred
 * milliseconds old. Many instances that choose the best engine from the same stale loads choose the same one, and its
 * memory overflows. Costs that differ by less than this therefore count as equal, and the request's id decides. It is
 * about what one long prompt adds to an engine's cost.
 */
export const staleLoadSpreadMilliseconds = 80;

/** An endpoint that a request could be sent to. */
export type Candidate = {
	endpoint: EndpointRecord;
	isAdmitted: boolean;
	basis: PlacementBasis;
	/** The factor that was expected of its pace; 1 where its service reports none. */
	pace: number;
	/** How much of its cost is due to a pace other than the mean of its service. */
	paceCostMilliseconds: number;
	/** The part of its cost that the request's id decides. */
	spreadMilliseconds: number;
	/** Whether it is preferred as the owner of blocks that are cached nowhere. */
	isPreferredOwner: boolean;
};
