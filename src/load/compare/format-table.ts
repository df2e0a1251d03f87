import {type Interval} from '../measure/statistics.js';
import {type ComparisonResult} from './compare-policies.js';

/**
 * Formats a comparison as a text table: a line per measure and a column per policy, each figure with its 95% interval.
 *
 * @param result - The comparison.
 * @returns The lines, without a line break at the end.
 */
export function formatTable({workload, loadFactor, isPartial, results}: ComparisonResult): string {
	const measures = [...new Set(results.flatMap(result => Object.keys(result.measures)))];
	const rows = [
		['', ...results.map(({policy, seeds}) => `${policy} (${seeds.length} seeds)`)],
		...measures.map(name => [name, ...results.map(result => formatInterval(result.measures[name]))]),
	];
	const widths = rows[0]!.map((_, column) => Math.max(...rows.map(row => row[column]!.length)));
	const lines = rows.map(row => row.map((cell, column) => column === 0 ? cell.padEnd(widths[column]!) : cell.padStart(widths[column]!)).join('  '));
	return [`${workload}, load ${loadFactor}${isPartial ? ', PARTIAL: stopped before all seeds' : ''}`, ...lines].join('\n');
}

function formatInterval(interval: Interval | undefined): string {
	if (interval === undefined || Number.isNaN(interval.mean)) {
		return '-';
	}

	const digits = Math.abs(interval.mean) < 10 ? 3 : 0;
	return `${interval.mean.toFixed(digits)} ± ${interval.halfWidth.toFixed(digits)}`;
}
