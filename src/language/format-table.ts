import {type Row, type Table} from './statement.js';

const longestCellCharacters = 60;

/**
 * Writes a table for people: a line of column names, and one line a row.
 *
 * @param table - The table.
 * @returns The lines; columns are aligned, and longer cells are cut with "…".
 */
export function formatTable({columns, rows}: Table): string[] {
	const cells = rows.map(row => columns.map(column => cellOf(row[column])));
	const widths = columns.map((column, index) => Math.max(column.length, ...cells.map(line => line[index]!.length)));
	const lineOf = (texts: readonly string[]): string => texts.map((text, index) => text.padEnd(widths[index]!)).join('  ').trimEnd();
	return [lineOf(columns), ...cells.map(line => lineOf(line))];
}

function cellOf(value: Row[string]): string {
	// A name that an endpoint gave itself must not move the desk's cursor or colour its lines.
	const text = String(value ?? '-').replaceAll(/\p{Cc}/gv, '?');
	return text.length > longestCellCharacters ? `${text.slice(0, longestCellCharacters - 1)}…` : text;
}
