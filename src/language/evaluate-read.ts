/** Evaluates a read statement over rows that the caller supplies. The functions send no requests and change nothing. */
import {type Either, Left, Right} from 'purify-ts/Either';
import {fieldsOfSource} from './sources.js';
import {
	type Condition, type FieldName, type LanguageError, type ReadStatement, type Row, type Table,
} from './statement.js';

/**
 * Checks that a statement names only fields that its source has.
 *
 * @param statement - The statement.
 * @returns The statement, or the column of the first unknown field with the names of all fields.
 */
export function checkRead(statement: ReadStatement): Either<LanguageError, ReadStatement> {
	const known: readonly string[] = fieldsOfSource[statement.source];
	const usedFields = [...(statement.where === undefined ? [] : fieldsOf(statement.where)), ...statement.order];
	const unknownField = usedFields.find(({name}) => findField(known, name) === undefined);
	return unknownField === undefined
		? Right(statement)
		: Left({column: unknownField.column, message: `${statement.source} have no field "${unknownField.name}"; expected ${known.join(', ')}`});
}

/**
 * Filters, sorts and limits rows as a statement says.
 *
 * @param statement - A statement that `checkRead` accepted.
 * @param rows - The rows of its source; they are not changed.
 * @returns The rows that meet the condition, sorted and limited.
 */
export function evaluateRead(statement: ReadStatement, rows: readonly Row[]): Table {
	const {where, order, limit = Number.POSITIVE_INFINITY} = statement;
	const columns = fieldsOfSource[statement.source];
	const matching = where === undefined ? rows : rows.filter(row => meets(row, where, columns));
	const sorted = matching.toSorted((left, right) => {
		for (const {name, descending} of order) {
			const field = findField(columns, name)!;
			const difference = compare(left[field], right[field]);
			if (difference !== 0) {
				return descending ? -difference : difference;
			}
		}

		return 0;
	});
	return {columns: [...columns], rows: sorted.slice(0, limit)};
}

function meets(row: Row, condition: Condition, columns: readonly string[]): boolean {
	switch (condition.kind) {
		case 'or': {
			return meets(row, condition.left, columns) || meets(row, condition.right, columns);
		}

		case 'and': {
			return meets(row, condition.left, columns) && meets(row, condition.right, columns);
		}

		case 'not': {
			return !meets(row, condition.operand, columns);
		}

		case 'comparison': {
			return meetsComparison(row[findField(columns, condition.field.name)!], condition);
		}
	}
}

function meetsComparison(value: Row[string], {operator, value: wanted}: Condition & {kind: 'comparison'}): boolean {
	if (operator === 'contains') {
		return String(value ?? '').toLowerCase().includes(String(wanted).toLowerCase());
	}

	const difference = compare(value, typeof value === 'number' ? wanted : String(wanted));
	switch (operator) {
		case '=': {
			return difference === 0;
		}

		case '!=': {
			return difference !== 0;
		}

		case '<': {
			return difference < 0;
		}

		case '<=': {
			return difference <= 0;
		}

		case '>': {
			return difference > 0;
		}

		case '>=': {
			return difference >= 0;
		}
	}
}

/** Compares two numbers as numbers and any other values as text; an empty field sorts first. */
function compare(left: Row[string], right: Row[string]): number {
	if (typeof left === 'number' && typeof right === 'number') {
		return left - right;
	}

	const leftText = String(left ?? '');
	const rightText = String(right ?? '');
	if (leftText === rightText) {
		return 0;
	}

	return leftText < rightText ? -1 : 1;
}

function findField(columns: readonly string[], name: string): string | undefined {
	return columns.find(column => column.toLowerCase() === name.toLowerCase());
}

function fieldsOf(condition: Condition): FieldName[] {
	switch (condition.kind) {
		case 'or':
		case 'and': {
			return [...fieldsOf(condition.left), ...fieldsOf(condition.right)];
		}

		case 'not': {
			return fieldsOf(condition.operand);
		}

		case 'comparison': {
			return [condition.field];
		}
	}
}
