import {evaluateRead} from './evaluate-read.js';
import {type ReadStatement, type Row, type Table} from './statement.js';

/**
 * Joins the answers of several instances to one statement.
 *
 * Each instance has ordered and limited its own rows, so the joined rows are ordered and limited once more.
 *
 * @param statement - The statement that all were asked.
 * @param answers - The rows of each instance.
 * @returns One table.
 */
export function mergeTables(statement: ReadStatement, answers: ReadonlyArray<readonly Row[]>): Table {
	return evaluateRead(statement, answers.flat());
}
