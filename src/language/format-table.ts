import {type Row, type Table} from './statement.js';

const longestCellCharacters = 60;

/**
 * Formats a table as text: a line of column names, followed by one line for each row.
 *
 * @param table - The table.
 * @returns The lines; columns are aligned, and long cells are truncated with "…".
 */
export function formatTable({columns, rows}: Table): string[] {
	const cells = rows.map(row => columns.map(column => cellOf(row[column])));
	const widths = columns.map((column, index) => Math.max(column.length, ...cells.map(line => line[index]!.length)));
	const lineOf = (texts: readonly string[]): string => texts.map((text, index) => text.padEnd(widths[index]!)).join('  ').trimEnd();
	return [lineOf(columns), ...cells.map(line => lineOf(line))];
}

function cellOf(value: Row[string]): string {
	// Endpoints choose their own names. Control characters in them must not move the terminal's cursor or colour its lines.
	const text = String(value ?? '-').replaceAll(/\p{Cc}/gv, '?');
	return text.length > longestCellCharacters ? `${text.slice(0, longestCellCharacters - 1)}…` : text;
}
