/** The work that one workspace requested, and its weight. */
export type Demand = {workspace: string; tokens: number; share: number};

/**
 * Divides work by weighted max-min fairness: no workspace gets more than it requested, and what it doesn't use is divided
 * among the others by weight.
 *
 * @param demands - The demand of each workspace.
 * @param total - The work to divide, in the unit of the demands.
 * @returns The fair amount by workspace.
 */
export function fairShares(demands: readonly Demand[], total: number): Map<string, number> {
	const fair = new Map<string, number>();
	let remaining = total;
	let weight = demands.reduce((sum, {share}) => sum + share, 0);
	for (const {workspace, tokens, share} of demands.toSorted((first, second) => (first.tokens / first.share) - (second.tokens / second.share))) {
		const allotted = Math.min(tokens, remaining * share / weight);
		fair.set(workspace, allotted);
		remaining -= allotted;
		weight -= share;
	}

	return fair;
}
