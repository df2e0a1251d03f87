/** Formats a comparison as one HTML page: a bar chart per measure, with the 95% interval over seeds as a whisker. */
import {type ComparisonResult} from './compare-policies.js';

const barHeight = 26;
const labelWidth = 150;
const chartWidth = 520;
const valueWidth = 170;
const colours = ['#4e79a7', '#f28e2b', '#59a14f', '#b07aa1', '#9c755f', '#76b7b2'];

type Bar = {policy: string; mean: number; halfWidth: number};

/**
 * Formats a comparison.
 *
 * @param result - The comparison.
 * @returns A self-contained HTML page.
 */
export function formatReport(result: ComparisonResult): string {
	const names = [...new Set(result.results.flatMap(({measures}) => Object.keys(measures)))];
	const charts = names.map(name => chartOf(name, result.results.map(({policy, measures}) => ({
		policy, mean: measures[name]?.mean ?? 0, halfWidth: measures[name]?.halfWidth ?? 0,
	}))));
	const seeds = result.results.map(({policy, seeds: finishedSeeds}) => `${policy}: seeds ${finishedSeeds.join(', ')}`).join('; ');
	const title = `${result.workload}, load ${result.loadFactor}${result.isPartial ? ' (partial)' : ''}`;
	return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>${escapeText(title)}</title>
<style>body{font:15px system-ui,sans-serif;margin:2rem auto;max-width:60rem;color:#222}h2{font-size:1rem;margin:1.4rem 0 .2rem}svg text{font:13px system-ui,sans-serif}</style>
</head><body><h1>${escapeText(title)}</h1>
<p>Bars are means over seeds; whiskers are 95% intervals. Times are in milliseconds. ${escapeText(seeds)}</p>
${charts.join('\n')}
</body></html>
`;
}

function chartOf(name: string, bars: readonly Bar[]): string {
	const maxValue = Math.max(...bars.map(({mean, halfWidth}) => mean + halfWidth), 1e-9);
	const scale = (value: number): number => Math.max(0, value) / maxValue * chartWidth;
	const lines = bars.map(({policy, mean, halfWidth}, index) => {
		const top = index * barHeight;
		const middle = top + ((barHeight - 6) / 2);
		const colour = colours[index % colours.length]!;
		return `<text x="0" y="${middle + 5}">${escapeText(policy)}</text>`
			+ `<rect x="${labelWidth}" y="${top}" width="${scale(mean).toFixed(1)}" height="${barHeight - 6}" fill="${colour}"/>`
			+ `<line x1="${(labelWidth + scale(mean - halfWidth)).toFixed(1)}" x2="${(labelWidth + scale(mean + halfWidth)).toFixed(1)}" y1="${middle}" y2="${middle}" stroke="#222"/>`
			+ `<text x="${labelWidth + chartWidth + 8}" y="${middle + 5}">${mean.toPrecision(4)} ± ${halfWidth.toPrecision(2)}</text>`;
	});
	return `<h2>${escapeText(name)}</h2><svg role="img" width="${labelWidth + chartWidth + valueWidth}" height="${bars.length * barHeight}">${lines.join('')}</svg>`;
}

function escapeText(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}
