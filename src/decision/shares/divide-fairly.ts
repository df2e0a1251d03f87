/** What one claimant requests, its weight, and the floor that it gets before others get more than theirs. */
export type Claim = {
	demand: number;
	/** Above 0. */
	weight: number;
	floor: number;
};

/**
 * Divides a capacity by weighted max-min fairness: nobody gets more than its demand, and what one leaves goes to the others in
 * proportion to their weights. Floors above the capacity are divided in the same way.
 *
 * @param capacity - In the unit of the demands.
 * @param claims - The claimants.
 * @returns The part of each, in the order of the claims. They add up to the smaller one of the capacity and all demands.
 * @example
 * divideFairly(10, [{demand: 2, weight: 1, floor: 0}, {demand: 9, weight: 1, floor: 0}]) // [2, 8]
 */
export function divideFairly(capacity: number, claims: readonly Claim[]): number[] {
	const floors = claims.map(({floor, demand}) => Math.min(floor, demand));
	const floorSum = sumOf(floors);
	if (floorSum > capacity) {
		return divideFairly(capacity, claims.map(({weight}, index) => ({weight, demand: floors[index]!, floor: 0})));
	}

	const level = waterLevel(capacity - floorSum, claims, floors);
	return claims.map(({demand, weight}, index) => Math.min(demand, Math.max(floors[index]!, weight * level)));
}

/** The part of one unit of weight at which the parts above the floors add up to `available`; infinite if all demands are met. */
function waterLevel(available: number, claims: readonly Claim[], floors: readonly number[]): number {
	const bends = claims
		.flatMap(({demand, weight}, index) => [{at: floors[index]! / weight, slope: weight}, {at: demand / weight, slope: -weight}])
		.toSorted((one, other) => one.at - other.at);
	let left = available;
	let level = 0;
	let slope = 0;
	for (const bend of bends) {
		const needed = slope * (bend.at - level);
		if (needed > left) {
			return level + (left / slope);
		}

		left -= needed;
		level = bend.at;
		slope += bend.slope;
	}

	return Number.POSITIVE_INFINITY;
}

function sumOf(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0);
}
