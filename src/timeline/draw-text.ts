import {type RequestTrace, type TraceStep} from './request-trace.js';

const timeWidth = 12;
const minLaneWidth = 14;

/**
 * Draws the trace of a request as text: one lane for each process, one line for each step, arrows between lanes.
 *
 * @param trace - The trace.
 * @returns The lines.
 */
export function drawText(trace: RequestTrace): string[] {
	const width = Math.max(minLaneWidth, ...trace.lanes.map(lane => lane.length + 2));
	const head = `request ${trace.requestId} of ${trace.workspace}, ${new Date(trace.startedAt).toISOString()}, ${trace.steps.length} events`;
	const names = ' '.repeat(timeWidth) + trace.lanes.map(lane => lane.padEnd(width)).join('');
	return [head, names.trimEnd(), ...trace.steps.map(step => drawStep(step, trace.lanes, width))];
}

function drawStep(step: TraceStep, lanes: readonly string[], width: number): string {
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
