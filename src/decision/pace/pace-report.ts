/** The figures of pace that instances send to the coordinator, and that it passes on. */
import {type EndpointRecord} from '../../shared/endpoint-record.js';

/**
 * A figure as an instance sends it: the endpoint's name, the mark of its incarnation, the pace in percent, and the age of
 * the figure in milliseconds.
 */
export type PaceReport = [endpoint: string, mark: number, percent: number, ageMilliseconds: number];

/**
 * Figures as the coordinator passes them on, four numbers each: the index of the endpoint in the list that both sides know,
 * then as in a report. Names would be most of the bytes.
 */
export type PackedPaces = number[];

const packedLength = 4;
const markRange = 65_536;

/**
 * Returns a number that differs between incarnations of an endpoint, in at most three bytes of a frame; two incarnations
 * have the same one in 1 of 65,536 cases.
 */
export function incarnationMarkOf({startedAt}: EndpointRecord): number {
	return Math.trunc(startedAt) % markRange;
}

/** Unpacks figures about endpoints of a list; indexes outside it are ignored. */
export function unpackPaces(packed: PackedPaces, endpoints: readonly string[]): PaceReport[] {
	const reports: PaceReport[] = [];
	for (let index = 0; index + packedLength <= packed.length; index += packedLength) {
		const [position, mark, percent, ageMilliseconds] = packed.slice(index, index + packedLength) as [number, number, number, number];
		const endpoint = endpoints[position];
		if (endpoint !== undefined) {
			reports.push([endpoint, mark, percent, ageMilliseconds]);
		}
	}

	return reports;
}
