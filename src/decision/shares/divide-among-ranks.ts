/** What the workspaces of one rank request together, and the sum of their floors. */
export type RankDemand = {
	/** 0 is the most urgent. */
	rank: number;
	demand: number;
	floor: number;
};

/** Part of its demand that a less urgent rank keeps, so that a long burst of urgent calls does not stop the others. */
const keptShare = 0.1;
/** Part of the capacity that the kept parts may take together: more urgent ranks would lose it all at ten times the capacity. */
const maxKeptShare = 0.5;

/**
 * Divides a capacity among ranks: the floors first, then what each less urgent one keeps, and the rest by urgency.
 *
 * @param capacity - In the unit of the demands.
 * @param ranks - One entry for each rank, in any order.
 * @returns The part of each rank.
 */
export function divideAmongRanks(capacity: number, ranks: readonly RankDemand[]): Map<number, number> {
	const ordered = ranks.toSorted((one, other) => one.rank - other.rank);
	const floors = ordered.map(({demand, floor}) => Math.min(demand, floor));
	const kept = ordered.map(({demand}, index) => index === 0 ? 0 : keptShare * demand);
	const keptScale = scaleWithin(maxKeptShare * capacity, kept);
	const parts = scaled(floors, scaleWithin(capacity, floors));
	const lacking = parts.map((part, index) => Math.max(0, (kept[index]! * keptScale) - part));
	const raises = scaled(lacking, scaleWithin(capacity - sumOf(parts), lacking));
	for (const [index, raise] of raises.entries()) {
		parts[index]! += raise;
	}

	let left = Math.max(0, capacity - sumOf(parts));
	for (const [index, {demand}] of ordered.entries()) {
		const more = Math.min(left, demand - parts[index]!);
		parts[index]! += more;
		left -= more;
	}

	return new Map(ordered.map(({rank}, index) => [rank, parts[index]!]));
}

/** The factor, at most 1, that brings the sum of some parts within a bound. */
function scaleWithin(bound: number, parts: readonly number[]): number {
	const sum = sumOf(parts);
	// A difference of rounded sums may be slightly below 0.
	const available = Math.max(0, bound);
	return sum > available ? available / sum : 1;
}

function scaled(parts: readonly number[], scale: number): number[] {
	return parts.map(part => part * scale);
}

function sumOf(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0);
}
