import {evaluateRead} from './evaluate-read.js';
import {type ReadStatement, type Row, type Table} from './statement.js';

/**
 * Merges the answers of several instances to one statement.
 *
 * Each instance sorts and limits only its own rows, so the merged rows are sorted and limited again.
 *
 * @param statement - The statement that was sent to all instances.
 * @param answers - The rows of each instance.
 * @returns The merged table.
 */
export function mergeTables(statement: ReadStatement, answers: ReadonlyArray<readonly Row[]>): Table {
	return evaluateRead(statement, answers.flat());
}
