/**
 * What instances report of the demand for services, and what the coordinator publishes about services whose capacity does not
 * meet it. Both travel in frames, so rows are tuples.
 */

/** The calls of one workspace and rank: how many have arrived, and how many that an endpoint accepted have ended. */
export type DemandRow = [rank: number, workspace: string, requested: number, ended: number];

/** What one instance counted of a service since its last frame. */
export type ServiceDemand = {
	service: string;
	/** Sum of the times for which the calls that have ended held a slot, in milliseconds. */
	heldMilliseconds: number;
	rows: DemandRow[];
};

/**
 * Why calls of a workspace are refused.
 *
 * - `share`: it requests more than its share of the service would be if all calls were equally urgent.
 * - `ceiling`: it requests more than its configured ceiling.
 * - `rank`: it requests no more than that, but more than its part by weight, and more urgent calls go first.
 */
export type ShareReason = 'share' | 'ceiling' | 'rank';

/** The part of the calls of one workspace and rank that is accepted. */
export type FractionRow = [rank: number, workspace: string, fraction: number, reason: ShareReason];

/** A service that is congested, or of which a workspace requests more than its ceiling. */
export type CrowdedService = {
	service: string;
	isCongested: boolean;
	/** Calls a second, over the last second. */
	requestedPerSecond: number;
	/** Change of the requested calls a second within a second. */
	trendPerSecond: number;
	/** Calls a second; 0 while unknown. */
	capacityPerSecond: number;
	/** The workspace of which the most calls have ended. */
	largestUse: string;
	/** Contains only those that are not accepted whole. */
	fractions: FractionRow[];
};

/** What the operator has configured for a workspace. Rates are calls a second of one service. */
export type WorkspaceShare = {
	weight: number;
	floorPerSecond: number;
	ceilingPerSecond: number;
};

export const defaultWorkspaceShare: WorkspaceShare = {weight: 1, floorPerSecond: 0, ceilingPerSecond: Number.POSITIVE_INFINITY};
