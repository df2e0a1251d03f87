/** A row of docs/CAPACITY.md, and how rows read the measured slopes. */
import {type Line} from '../slopes/fit-line.js';
import {type SlopesData} from '../slopes/slopes-data.js';

/** Whether the target is carried by what stands today. */
export type CapacityStatus = 'carried' | 'not carried yet';

/** One row. */
export type CapacityRow = {
	role: string;
	quantity: string;
	formula: string;
	/** The slope or figure that the formula uses, as shown. */
	slope: string;
	value: number;
	bound: number;
	unit: string;
	status: CapacityStatus;
	/** What carries it, or what has to change. */
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
 * Gives the figures of a data file.
 *
 * @param data - The data file of the slopes bench.
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
