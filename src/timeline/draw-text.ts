import {type RequestWay, type WayStep} from './request-way.js';

const timeWidth = 12;
const leastLaneWidth = 14;

/**
 * Draws the trace of a request as text: one lane for each process, one line for each step, arrows between lanes.
 *
 * @param way - The trace.
 * @returns The lines.
 */
export function drawText(way: RequestWay): string[] {
	const width = Math.max(leastLaneWidth, ...way.lanes.map(lane => lane.length + 2));
	const head = `request ${way.requestId} of ${way.workspace}, ${new Date(way.startedAt).toISOString()}, ${way.steps.length} events`;
	const names = ' '.repeat(timeWidth) + way.lanes.map(lane => lane.padEnd(width)).join('');
	return [head, names.trimEnd(), ...way.steps.map(step => lineOf(step, way.lanes, width))];
}

function lineOf(step: WayStep, lanes: readonly string[], width: number): string {
	const characters: string[] = Array.from({length: lanes.length * width}, (_, index) => index % width === 0 ? '|' : ' ');
	const from = lanes.indexOf(step.from) * width;
	if (step.to === undefined) {
		characters[from] = '*';
	} else {
		const to = lanes.indexOf(step.to) * width;
		for (let index = Math.min(from, to) + 1; index < Math.max(from, to); index++) {
			characters[index] = '-';
		}

		characters[to + (to > from ? -1 : 1)] = to > from ? '>' : '<';
	}

	const time = `+${step.afterMilliseconds} ms`.padEnd(timeWidth);
	return `${time}${characters.join('')}${step.isFailure ? '!! ' : ''}${step.label}`;
}
