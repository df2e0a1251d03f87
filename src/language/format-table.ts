import {type Row, type Table} from './statement.js';

const maxCellCharacters = 60;

/**
 * Formats a table as text: a line of column names, followed by one line for each row.
 *
 * @param table - The table.
 * @returns The lines; columns are aligned, and long cells are truncated with "…".
 */
export function formatTable({columns, rows}: Table): string[] {
	const cells = rows.map(row => columns.map(column => formatCell(row[column])));
	const widths = columns.map((column, index) => Math.max(column.length, ...cells.map(line => line[index]!.length)));
	const formatLine = (texts: readonly string[]): string => texts.map((text, index) => text.padEnd(widths[index]!)).join('  ').trimEnd();
	return [formatLine(columns), ...cells.map(line => formatLine(line))];
}

function formatCell(value: Row[string]): string {
	// Endpoints choose their own names. Control characters in them must not move the terminal's cursor or colour its lines.
	const text = String(value ?? '-').replaceAll(/\p{Cc}/gv, '?');
	return text.length > maxCellCharacters ? `${text.slice(0, maxCellCharacters - 1)}…` : text;
}
