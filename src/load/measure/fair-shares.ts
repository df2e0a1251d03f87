/** One workspace's wish for work and its weight. */
export type Demand = {workspace: string; tokens: number; share: number};

/**
 * Divides work by weighted max-min fairness: nobody gets more than they asked for, and what they leave goes to the
 * others by weight.
 *
 * @param demands - What each workspace asked for.
 * @param total - The work that there was, in the same unit.
 * @returns The fair amount by workspace.
 */
export function fairShares(demands: readonly Demand[], total: number): Map<string, number> {
	const fair = new Map<string, number>();
	let left = total;
	let weight = demands.reduce((sum, {share}) => sum + share, 0);
	for (const {workspace, tokens, share} of demands.toSorted((first, second) => (first.tokens / first.share) - (second.tokens / second.share))) {
		const part = Math.min(tokens, left * share / weight);
		fair.set(workspace, part);
		left -= part;
		weight -= share;
	}

	return fair;
}
