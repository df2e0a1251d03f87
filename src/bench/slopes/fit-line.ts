/** A straight line through measured points, with the standard error of its slope. */
export type Line = {
	intercept: number;
	slope: number;
	/** Standard error of the slope; 0 with two points or fewer. */
	slopeError: number;
	points: number;
};

/** A measured point. */
export type Point = {x: number; y: number};

/**
 * Fits a line by least squares.
 *
 * @param points - At least two points with different x.
 * @returns The line.
 */
export function fitLine(points: readonly Point[]): Line {
	const count = points.length;
	const meanX = points.reduce((sum, {x}) => sum + x, 0) / count;
	const meanY = points.reduce((sum, {y}) => sum + y, 0) / count;
	const squaredDeviations = points.reduce((sum, {x}) => sum + ((x - meanX) ** 2), 0);
	const slope = points.reduce((sum, {x, y}) => sum + ((x - meanX) * (y - meanY)), 0) / squaredDeviations;
	const intercept = meanY - (slope * meanX);
	const squaredResiduals = points.reduce((sum, {x, y}) => sum + ((y - intercept - (slope * x)) ** 2), 0);
	return {
		intercept, slope, slopeError: count > 2 ? Math.sqrt(squaredResiduals / (count - 2) / squaredDeviations) : 0, points: count,
	};
}
