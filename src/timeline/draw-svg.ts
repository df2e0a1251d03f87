import {type RequestTrace, type TraceStep} from './request-trace.js';

const laneWidth = 220;
const stepHeight = 34;
const top = 70;
const left = 120;

/**
 * Draws the trace of a request as SVG: one vertical line for each process, one row for each step, arrows between the lines.
 *
 * @param trace - The trace.
 * @returns The SVG document.
 */
export function drawSvg(trace: RequestTrace): string {
	const width = left + (trace.lanes.length * laneWidth);
	const height = top + ((trace.steps.length + 1) * stepHeight);
	const lanes = trace.lanes.map((lane, index) => {
		const x = laneX(index);
		return `<text x="${x}" y="${top - 18}" text-anchor="middle" font-weight="bold">${escapeXml(lane)}</text><line x1="${x}" y1="${top - 10}" x2="${x}" y2="${height - 10}" stroke="#bbb"/>`;
	});
	const title = `request ${trace.requestId} of ${trace.workspace}, ${new Date(trace.startedAt).toISOString()}`;
	return [
		`<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" viewBox="0 0 ${width} ${height}" font-family="sans-serif" font-size="12">`,
		'<defs><marker id="head" markerWidth="8" markerHeight="8" refX="7" refY="4" orient="auto"><path d="M0,0 L8,4 L0,8 z"/></marker></defs>',
		'<rect width="100%" height="100%" fill="white"/>',
		`<text x="10" y="24" font-size="14">${escapeXml(title)}</text>`,
		...lanes,
		...trace.steps.map((step, index) => drawStep(step, trace.lanes, top + ((index + 1) * stepHeight))),
		'</svg>',
	].join('\n');
}

/**
 * Wraps the drawing of a trace in an HTML page.
 *
 * @param trace - The trace.
 * @returns The page, which loads no other resources.
 */
export function drawHtml(trace: RequestTrace): string {
	return `<!doctype html>\n<html lang="en"><head><meta charset="utf-8"><title>request ${escapeXml(trace.requestId)}</title></head>\n<body>\n${drawSvg(trace)}\n</body></html>`;
}

function drawStep(step: TraceStep, lanes: readonly string[], y: number): string {
	const color = step.isFailure ? '#b00' : '#036';
	const from = laneX(lanes.indexOf(step.from));
	const to = step.to === undefined ? from : laneX(lanes.indexOf(step.to));
	const line = step.to === undefined
		? `<circle cx="${from}" cy="${y}" r="4" fill="${color}"/>`
		: `<line x1="${from}" y1="${y}" x2="${to}" y2="${y}" stroke="${color}" marker-end="url(#head)"/>`;
	const labelX = Math.min(from, to) + 8;
	return `<text x="10" y="${y + 4}">+${step.afterMilliseconds} ms</text>${line}<text x="${labelX}" y="${y - 5}" fill="${color}">${escapeXml(step.label)}</text>`;
}

function laneX(index: number): number {
	return left + (index * laneWidth) + (laneWidth / 2);
}

/** Escapes text for XML. Names and details come from other processes and must not break out of the drawing's markup. */
function escapeXml(text: string): string {
	return text
		.replaceAll('&', '&amp;')
		.replaceAll('<', '&lt;')
		.replaceAll('>', '&gt;')
		.replaceAll('"', '&quot;')
		.replaceAll(/\p{Cc}/gv, '?');
}
