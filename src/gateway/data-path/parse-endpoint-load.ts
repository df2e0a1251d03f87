import {type ReportedLoad} from '../../decision/placement/placement.js';

/**
 * Parses the load that an endpoint reports in its answer.
 *
 * @param text - Running requests, waiting requests and slots, separated by commas.
 * @returns The load; `undefined` if the text is absent or malformed.
 * @example
 * parseEndpointLoad('3,0,8'); // {running: 3, waiting: 0, slots: 8}
 */
export function parseEndpointLoad(text: string | undefined): ReportedLoad | undefined {
	const [running, waiting, slots] = (text ?? '').split(',').map(Number);
	const isCount = (value: number | undefined): value is number => value !== undefined && Number.isInteger(value) && value >= 0;
	return isCount(running) && isCount(waiting) && isCount(slots) ? {running, waiting, slots} : undefined;
}
