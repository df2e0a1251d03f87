import {type EndpointRecord} from '../../shared/endpoint-record.js';

/** `unordered`: at least one of the rows does not tell when it was written. */
export type RowComparison = 'newer' | 'same' | 'older' | 'unordered';

/**
 * Compares two rows of endpoints with the same name by when they were written: by the start of the incarnation, then by the count
 * of its writes.
 *
 * @param row - A row.
 * @param other - Another row of the same name.
 * @returns Whether the first row is newer than the other one.
 */
export function compareRows(row: Pick<EndpointRecord, 'startedAt' | 'sequence'>, other: Pick<EndpointRecord, 'startedAt' | 'sequence'>): RowComparison {
	const fields = row.startedAt === other.startedAt ? 'sequence' : 'startedAt';
	if (row[fields] === 0 || other[fields] === 0) {
		return 'unordered';
	}

	if (row[fields] === other[fields]) {
		return 'same';
	}

	return row[fields] > other[fields] ? 'newer' : 'older';
}
