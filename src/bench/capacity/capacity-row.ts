/** A row of docs/CAPACITY.md, and access to the measured slopes for rows. */
import {type Line} from '../slopes/fit-line.js';
import {type SlopesData} from '../slopes/slopes-data.js';

/** Whether the present implementation meets the target. */
export type CapacityStatus = 'carried' | 'not carried yet';

/** One row of the table. */
export type CapacityRow = {
	role: string;
	quantity: string;
	formula: string;
	/** The slope or figure that the formula uses, formatted for the page. */
	slope: string;
	value: number;
	bound: number;
	unit: string;
	status: CapacityStatus;
	/** The mechanism that meets the target, or the change that is needed for it. */
	mechanism: string;
	runs: string;
};

/** The measured figures, by name. */
export type Figures = {
	line(name: string): Line;
	at(name: string, x: number): number;
	shown(name: string): string;
	value(run: string, name: string): number;
};

/**
 * Returns accessors to the figures of a data file.
 *
 * @param data - The data file of the slopes benchmark.
 */
export function figuresOf(data: SlopesData): Figures {
	return {
		line: name => data.slopes[name]!,
		at(name, x) {
			const {intercept, slope} = data.slopes[name]!;
			return intercept + (slope * x);
		},
		shown(name) {
			const {slope, slopeError} = data.slopes[name]!;
			return `${slope.toPrecision(3)} ± ${slopeError.toPrecision(2)}`;
		},
		value: (run, name) => data.runs.find(({id}) => id === run)!.values[name]!,
	};
}
