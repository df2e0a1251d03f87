/**
 * Divides the capacity of one service among ranks and workspaces, and computes which part of the calls of those that request more
 * than their share is accepted.
 */
import {divideAmongRanks} from './divide-among-ranks.js';
import {divideFairly, type Claim} from './divide-fairly.js';
import {
	type FractionRow, type ShareReason, type WorkspaceShare,
} from './service-demand.js';

/** What one workspace requests in one rank. */
export type WorkspaceDemand = {
	rank: number;
	workspace: string;
	/** Calls a second. */
	requestedPerSecond: number;
};

/** A demand within the workspace's ceiling, and its part of the workspace's floor. */
type BoundedDemand = WorkspaceDemand & {demand: number; weight: number; floor: number};

/**
 * Returns the accepted fractions of a service.
 *
 * @param capacity - Calls a second to divide; `undefined` where the service is not congested, so that only ceilings hold.
 * @param demands - One for each rank and workspace.
 * @param shareOf - What is configured for a workspace.
 * @returns Rows of those that are not accepted whole.
 */
export function divideService(capacity: number | undefined, demands: readonly WorkspaceDemand[], shareOf: (workspace: string) => WorkspaceShare): FractionRow[] {
	if (capacity === undefined) {
		return boundDemands(demands, shareOf).flatMap(each => rowOf(each, each.demand, 'ceiling'));
	}

	const {isSettled, guaranteedTo} = guarantees(capacity, demands, shareOf);
	const settledByRank = new Map<number, number>();
	const rest: WorkspaceDemand[] = [];
	for (const each of demands) {
		const isMet = isSettled(each.workspace);
		settledByRank.set(each.rank, (settledByRank.get(each.rank) ?? 0) + (isMet ? each.requestedPerSecond : 0));
		if (!isMet) {
			rest.push(each);
		}
	}

	const bounded = boundDemands(rest, guaranteedTo);
	const ranks = [...settledByRank].map(([rank, settled]) => ({rank, settled, members: bounded.filter(each => each.rank === rank)}));
	const parts = divideAmongRanks(capacity, ranks.map(({rank, settled, members}) => ({
		rank, demand: settled + sumOf(members, ({demand}) => demand), floor: settled + sumOf(members, ({floor}) => floor),
	})));
	// The rounded difference may be slightly below 0.
	const metWithoutRanks = metByShares(Math.max(0, ranks.reduce((left, {settled}) => left - settled, capacity)), bounded);
	return ranks.flatMap(({rank, settled, members}) => {
		const shares = divideFairly(Math.max(0, parts.get(rank)! - settled), members);
		return members.flatMap((each, index) => rowOf(each, shares[index]!, metWithoutRanks.has(each.workspace) ? 'rank' : 'share'));
	});
}

/**
 * What each workspace is guaranteed: its floor, or its part of the rest of the capacity by weight if that is more. Otherwise the
 * calls of a workspace that requests little would be refused for a large one whose calls are more urgent.
 *
 * @returns `isSettled` states of a workspace whether it requests no more than that, so that all its calls are accepted; most are,
 * and the division of the rest takes less time without them. `guaranteedTo` returns its share with the guarantee as its floor.
 */
function guarantees(capacity: number, demands: readonly WorkspaceDemand[], shareOf: (workspace: string) => WorkspaceShare) {
	const totals = new Map<string, {requested: number; share: WorkspaceShare}>();
	for (const {workspace, requestedPerSecond} of demands) {
		const total = totals.get(workspace);
		if (total === undefined) {
			totals.set(workspace, {requested: requestedPerSecond, share: shareOf(workspace)});
		} else {
			total.requested += requestedPerSecond;
		}
	}

	let weights = 0;
	let floors = 0;
	for (const {requested, share: {weight, floorPerSecond, ceilingPerSecond}} of totals.values()) {
		weights += weight;
		floors += Math.min(floorPerSecond, ceilingPerSecond, requested);
	}

	const partOfUnit = Math.max(0, capacity - floors) / weights;
	const guaranteedTo = (workspace: string): WorkspaceShare => {
		const {share} = totals.get(workspace)!;
		return {...share, floorPerSecond: Math.max(share.floorPerSecond, partOfUnit * share.weight)};
	};

	const isSettled = (workspace: string): boolean => {
		const {requested, share: {weight, floorPerSecond, ceilingPerSecond}} = totals.get(workspace)!;
		// Floors that exceed the capacity are divided, so that even a floor does not hold.
		return floors <= capacity && requested <= Math.min(ceilingPerSecond, Math.max(floorPerSecond, partOfUnit * weight));
	};

	return {isSettled, guaranteedTo};
}

/** Applies the ceiling and the floor of each workspace to all its ranks together, from the most urgent one on. */
function boundDemands(demands: readonly WorkspaceDemand[], shareOf: (workspace: string) => WorkspaceShare): BoundedDemand[] {
	const left = new Map<string, {ceiling: number; floor: number}>();
	return demands.toSorted((one, other) => one.rank - other.rank).map(each => {
		const {weight, floorPerSecond, ceilingPerSecond} = shareOf(each.workspace);
		const {ceiling, floor} = left.get(each.workspace) ?? {ceiling: ceilingPerSecond, floor: Math.min(floorPerSecond, ceilingPerSecond)};
		const bounded = {
			...each, weight, demand: Math.min(each.requestedPerSecond, ceiling), floor: Math.min(each.requestedPerSecond, floor),
		};
		left.set(each.workspace, {ceiling: ceiling - bounded.demand, floor: floor - bounded.floor});
		return bounded;
	});
}

/** The workspaces whose whole demand would be met if all calls were equally urgent: only more urgent ranks take from them. */
function metByShares(capacity: number, bounded: readonly BoundedDemand[]): Set<string> {
	const totals = new Map<string, Claim>();
	for (const {workspace, demand, floor, weight} of bounded) {
		const total = totals.get(workspace);
		totals.set(workspace, {weight, demand: (total?.demand ?? 0) + demand, floor: (total?.floor ?? 0) + floor});
	}

	const shares = divideFairly(capacity, [...totals.values()]);
	return new Set([...totals].filter(([, {demand}], index) => shares[index]! >= demand).map(([workspace]) => workspace));
}

function rowOf({rank, workspace, requestedPerSecond, demand}: BoundedDemand, share: number, reason: ShareReason): FractionRow[] {
	if (share >= requestedPerSecond) {
		return [];
	}

	return [[rank, workspace, share / requestedPerSecond, share >= demand ? 'ceiling' : reason]];
}

function sumOf(members: readonly BoundedDemand[], valueOf: (member: BoundedDemand) => number): number {
	return members.reduce((sum, member) => sum + valueOf(member), 0);
}
