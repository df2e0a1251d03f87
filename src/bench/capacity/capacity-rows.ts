/**
 * The rows of docs/CAPACITY.md: the cost of each role at the target size, computed from the measured slopes. Each row
 * names the runs that its figures come from.
 */
import {type SlopesData} from '../slopes/slopes-data.js';
import {type CapacityRow, figuresOf} from './capacity-row.js';
import {configurationRows} from './configuration-rows.js';
import {dataPathRows} from './data-path-rows.js';
import {knowledgeRows} from './knowledge-rows.js';
import {membershipRows} from './membership-rows.js';
import {otherRows} from './other-rows.js';
import {totalRows} from './total-rows.js';

/**
 * Computes all rows.
 *
 * @param data - The data file of the slopes benchmark.
 * @returns The rows, grouped by role.
 */
export function capacityRows(data: SlopesData): CapacityRow[] {
	const figures = figuresOf(data);
	return [
		...dataPathRows(figures),
		...configurationRows(figures),
		...membershipRows(figures),
		...knowledgeRows(figures),
		...otherRows(figures),
		...totalRows(figures),
	];
}
