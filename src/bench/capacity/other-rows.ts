/** The rows of docs/CAPACITY.md for the cache directory, claims and the timeline of events. */
import {type CapacityRow, type Figures} from './capacity-row.js';
import {target} from './capacity-target.js';

const eventsPerRequest = 5;
const writesPerClaim = 3;
const claimShare = 0.01;

export function otherRows({line, shown, value}: Figures): CapacityRow[] {
	const promptBytes = line('prompts.heldBytes').slope * target.prompts * target.piecesPerPrompt;
	return [{
		role: 'cache directory',
		quantity: 'state: 730,000 prompts of 16 pieces, sharded',
		formula: 'slope × 730,000 × 16 / 760',
		slope: `${shown('prompts.heldBytes')} bytes a piece`,
		value: promptBytes / target.daemons,
		bound: target.memoryBytes,
		unit: 'bytes',
		status: 'not carried yet',
		mechanism: 'not needed for what stores have, which is asked of them (docs/KEPT-CONTEXT.md); for what engines keep, to '
			+ 'come: beliefs of the cell\'s engines alone; 16 pieces a prompt are an assumption',
		runs: 'prompts-1000 to prompts-730000',
	}, {
		role: 'cache directory',
		quantity: 'state: the same, whole in each daemon',
		formula: 'slope × 730,000 × 16',
		slope: `${shown('prompts.heldBytes')} bytes a piece`,
		value: promptBytes,
		bound: target.memoryBytes,
		unit: 'bytes',
		status: 'not carried yet',
		mechanism: 'this is why it has to be sharded',
		runs: 'prompts-1000 to prompts-730000',
	}, {
		role: 'claims',
		quantity: 'table writes, if 1 in 100 requests may never run twice',
		formula: '120 calls/s × 3 writes',
		slope: 'by the protocol',
		value: 12_000 * claimShare * writesPerClaim,
		bound: target.tableWrites,
		unit: 'writes/s',
		status: 'carried',
		mechanism: 'claimed, sending, ended; of several hundred writes/s 400 are counted on, which is 133 such calls a second over '
			+ 'all daemons; above, a budget in each entry refuses as not run. The letter does not say how many such calls '
			+ 'there are',
		runs: 'none: counted in the protocol; the share is an assumption',
	}, {
		role: 'time line',
		quantity: 'events of requests',
		formula: '15.8 requests/s × 5 events × size',
		slope: `${value('event-1', 'bytes').toFixed(0)} bytes an event`,
		value: target.requestsPerDaemon * eventsPerRequest * value('event-1', 'bytes'),
		bound: target.bytesPerSecond,
		unit: 'bytes/s',
		status: 'not carried yet',
		mechanism: 'to come: a request in 50, chosen by its id so that all processes choose the same ones, and every request that failed; events of control are few',
		runs: 'event-1',
	}];
}
