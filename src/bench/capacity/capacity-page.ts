/** Generates the tables of docs/CAPACITY.md between marks of the page; the rest of the page is written by hand. */
import {type SlopesData} from '../slopes/slopes-data.js';
import {type CapacityRow} from './capacity-row.js';
import {capacityRows} from './capacity-rows.js';
import {targetLines} from './target-lines.js';

/** Path of the page. */
export const capacityPage = 'docs/CAPACITY.md';

/** Thrown when the page lacks a mark. */
export class MarkMissingError extends Error {
	override readonly name = 'MarkMissingError';
}

/**
 * Replaces the tables of the page.
 *
 * @param page - The current text of the page.
 * @param data - The data file of the slopes benchmark.
 * @returns The page with tables computed from the data.
 * @throws `MarkMissingError` if the page lacks a mark.
 */
export function withTables(page: string, data: SlopesData): string {
	const tables = {
		target: targetTable(), roles: rolesTable(capacityRows(data)), slopes: slopesTable(data), conditions: `Runs: \`${data.command}\`, Node ${data.node}; ${data.conditions}.`,
	};
	let result = page;
	for (const [name, table] of Object.entries(tables)) {
		const [begin, end] = [`<!-- begin ${name} -->`, `<!-- end ${name} -->`];
		const [from, to] = [result.indexOf(begin), result.indexOf(end)];
		if (from === -1 || to < from) {
			throw new MarkMissingError(`the page must contain ${begin} and, after it, ${end}`);
		}

		result = `${result.slice(0, from + begin.length)}\n${table}\n${result.slice(to)}`;
	}

	return result;
}

function targetTable(): string {
	return tableOf(['line of the target', 'state', 'mechanism'], targetLines.map(({line, status, mechanism}) => [line, status, mechanism]));
}

function rolesTable(rows: readonly CapacityRow[]): string {
	return tableOf(
		['role', 'quantity', 'formula', 'slope or figure', 'result', 'bound', 'margin', 'state', 'mechanism, or what has to change', 'runs'],
		rows.map(row => [
			row.role,
			row.quantity,
			row.formula,
			row.slope,
			`${numberOf(row.value)} ${row.unit}`,
			numberOf(row.bound),
			`${(row.bound / row.value).toPrecision(2)}×`,
			row.status,
			row.mechanism,
			row.runs,
		]),
	);
}

function slopesTable(data: SlopesData): string {
	return tableOf(['series and value', 'intercept', 'slope', 'standard error', 'points'], Object.entries(data.slopes).map(([name, line]) => [
		name, line.intercept.toPrecision(4), line.slope.toPrecision(4), line.slopeError.toPrecision(2), String(line.points),
	]));
}

function tableOf(head: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const lineOf = (cells: readonly string[]): string => `| ${cells.join(' | ')} |`;
	return [lineOf(head), lineOf(head.map(() => '---')), ...rows.map(row => lineOf(row))].join('\n');
}

function numberOf(value: number): string {
	return value >= 1000 ? Math.round(value).toLocaleString('en-US') : String(Number(value.toPrecision(3)));
}
