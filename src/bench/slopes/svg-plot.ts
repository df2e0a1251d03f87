/** Draws measured points and their fitted line as an SVG image for the documentation. */
import {type Line, type Point} from './fit-line.js';

const width = 480;
const height = 300;
const margin = 60;

/** The content of a plot. */
export type Plot = {title: string; xLabel: string; yLabel: string; points: readonly Point[]; line: Line};

/**
 * Draws a plot.
 *
 * @param plot - Points, line and labels.
 * @returns The SVG text.
 */
export function svgPlot(plot: Plot): string {
	const maxX = Math.max(...plot.points.map(({x}) => x));
	const maxY = Math.max(...plot.points.map(({y}) => y), 1e-9);
	const left = (x: number): string => (margin + (x / maxX * (width - (2 * margin)))).toFixed(1);
	const top = (y: number): string => (height - margin - (Math.max(0, y) / maxY * (height - (2 * margin)))).toFixed(1);
	const {intercept, slope} = plot.line;
	const text = (x: number, y: number, words: string, anchor = 'middle'): string => `<text x="${x}" y="${y}" text-anchor="${anchor}">${words}</text>`;
	return [
		`<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="12">`,
		`<rect width="${width}" height="${height}" fill="white"/>`,
		`<path d="M${margin} ${margin}V${height - margin}H${width - margin}" fill="none" stroke="black"/>`,
		`<line x1="${left(0)}" y1="${top(intercept)}" x2="${left(maxX)}" y2="${top(intercept + (slope * maxX))}" stroke="steelblue"/>`,
		...plot.points.map(({x, y}) => `<circle cx="${left(x)}" cy="${top(y)}" r="4" fill="black"/>`),
		text(width / 2, margin / 2, plot.title),
		text(width / 2, height - 15, plot.xLabel),
		text(margin, margin - 10, plot.yLabel, 'start'),
		text(width - margin, height - margin + 15, String(maxX)),
		text(margin - 5, margin + 5, maxY.toPrecision(3), 'end'),
		'</svg>',
		'',
	].join('\n');
}
