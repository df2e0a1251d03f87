/** Quantiles and confidence intervals of the figures of runs. */

/** A mean over seeds with half the width of its 95% confidence interval. */
export type Interval = {mean: number; halfWidth: number};

/**
 * Returns a quantile by the nearest-rank method.
 *
 * @param values - In any order.
 * @param share - The quantile as a fraction, for example 0.95.
 * @returns The value, or `NaN` if there are none.
 */
export function quantileOf(values: readonly number[], share: number): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1)] ?? Number.NaN;
}

/** Student's t for a 95% confidence interval; index 0 is for 1 degree of freedom. */
const studentT = [12.71, 4.3, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26];
const normalT = 1.96;

/** Returns the mean and 95% confidence interval of figures, one for each seed. */
export function intervalOf(values: readonly number[]): Interval {
	const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
	if (values.length < 2) {
		return {mean, halfWidth: 0};
	}

	const variance = values.reduce((sum, value) => sum + ((value - mean) ** 2), 0) / (values.length - 1);
	const factor = studentT[values.length - 2] ?? normalT;
	return {mean, halfWidth: factor * Math.sqrt(variance / values.length)};
}
