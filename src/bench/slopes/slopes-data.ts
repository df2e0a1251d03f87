/** The data file of the slopes benchmark. The tables of docs/CAPACITY.md are generated from it. */
import {fitLine, type Line} from './fit-line.js';

/** Folder of the data file and its plots. */
export const slopesFolder = 'docs/measurements/data';
export const slopesFile = `${slopesFolder}/slopes.json`;

/** One measured run: its series, the size that the series varies, and the measured values. */
export type SlopesRun = {
	id: string;
	series: string;
	x: number;
	plan: Record<string, number>;
	values: Record<string, number>;
};

/** The content of the data file. */
export type SlopesData = {
	command: string;
	conditions: string;
	node: string;
	runs: SlopesRun[];
	/** Fitted lines by `series.value`. */
	slopes: Record<string, Line>;
};

/**
 * Fits a line to each value of each series that has more than one run.
 *
 * @param runs - All runs.
 * @returns Fitted lines by `series.value`.
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
