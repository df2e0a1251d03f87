import {type ReportedLoad} from '../../decision/placement/placement.js';

/**
 * Reads an endpoint's load from its answer.
 *
 * @param text - Requests running, requests waiting and slots, with commas between.
 * @returns The load; `undefined` if the text is absent or cannot be read.
 * @example
 * parseEndpointLoad('3,0,8'); // {running: 3, waiting: 0, slots: 8}
 */
export function parseEndpointLoad(text: string | undefined): ReportedLoad | undefined {
	const [running, waiting, slots] = (text ?? '').split(',').map(Number);
	const isWhole = (value: number | undefined): value is number => value !== undefined && Number.isInteger(value) && value >= 0;
	return isWhole(running) && isWhole(waiting) && isWhole(slots) ? {running, waiting, slots} : undefined;
}
