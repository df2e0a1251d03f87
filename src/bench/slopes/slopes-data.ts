/** The data file of the slopes bench. docs/CAPACITY.md is worked out from it. */
import {fitLine, type Line} from './fit-line.js';

/** Where the data file and its plots stand. */
export const slopesFolder = 'docs/measurements/data';
export const slopesFile = `${slopesFolder}/slopes.json`;

/** One measured run: a series, the size that was varied, and what came out. */
export type SlopesRun = {
	id: string;
	series: string;
	x: number;
	plan: Record<string, number>;
	values: Record<string, number>;
};

/** The data file. */
export type SlopesData = {
	command: string;
	conditions: string;
	node: string;
	runs: SlopesRun[];
	/** Lines by `series.value`. */
	slopes: Record<string, Line>;
};

/**
 * Fits a line to each value of each series with more than one size.
 *
 * @param runs - All runs.
 * @returns Lines by `series.value`.
 */
export function slopesOf(runs: readonly SlopesRun[]): Record<string, Line> {
	const slopes: Record<string, Line> = {};
	for (const series of new Set(runs.map(run => run.series))) {
		const ofSeries = runs.filter(run => run.series === series);
		for (const value of Object.keys(ofSeries[0]!.values)) {
			if (ofSeries.length > 1) {
				slopes[`${series}.${value}`] = fitLine(ofSeries.map(run => ({x: run.x, y: run.values[value]!})));
			}
		}
	}

	return slopes;
}
