import {type ReportedLoad} from '../../decision/placement/placement.js';

/**
 * Parses the load that an endpoint reports in its answer.
 *
 * @param text - Running requests, waiting requests and slots, separated by commas; a fourth figure is the pace in percent.
 * @returns The load; `undefined` if the text is absent or malformed. A malformed pace is ignored.
 * @example
 * parseEndpointLoad('3,0,8'); // {running: 3, waiting: 0, slots: 8}
 * parseEndpointLoad('3,0,8,250'); // {running: 3, waiting: 0, slots: 8, pacePercent: 250}
 */
export function parseEndpointLoad(text: string | undefined): ReportedLoad | undefined {
	const [running, waiting, slots, pacePercent] = (text ?? '').split(',').map(Number);
	const isCount = (value: number | undefined): value is number => value !== undefined && Number.isInteger(value) && value >= 0;
	if (!isCount(running) || !isCount(waiting) || !isCount(slots)) {
		return undefined;
	}

	const hasPace = pacePercent !== undefined && Number.isFinite(pacePercent) && pacePercent > 0;
	return hasPace
		? {
			running, waiting, slots, pacePercent,
		}
		: {running, waiting, slots};
}
