/** The rows of docs/CAPACITY.md for the configuration: its state, the fan-out of changes, reads and writes of the table. */
import {type CapacityRow, type Figures} from './capacity-row.js';
import {
	changesMeasuredSeconds, maxRetainedChanges, microsecondsPerPercent, target,
} from './capacity-target.js';

const readersPerDataCentre = 2;
const readerPollsPerSecond = 1000 / 450;
const nonReaderPollSeconds = 10;

export function configurationRows({at, line, shown}: Figures): CapacityRow[] {
	const reads = (target.dataCentres * readersPerDataCentre * readerPollsPerSecond)
		+ ((target.daemons - (target.dataCentres * readersPerDataCentre)) / nonReaderPollSeconds);
	const common = {role: 'configuration', status: 'carried' as const};
	return [{
		...common,
		quantity: 'state: 1,800 workspaces',
		formula: 'intercept + slope × 1,800',
		slope: `${shown('workspaces.heldBytes')} bytes a workspace`,
		value: at('workspaces.heldBytes', target.workspaces),
		bound: target.memoryBytes,
		unit: 'bytes',
		mechanism: 'whole in each daemon, maps copied on a change',
		runs: 'workspaces-10 to workspaces-1800',
	}, {
		...common,
		quantity: 'state: changes kept for peers',
		formula: 'slope / 8.5 s of changes × 1,024 kept',
		slope: `${shown('changes.heldBytes')} bytes for a change/s`,
		value: line('changes.heldBytes').slope / changesMeasuredSeconds * maxRetainedChanges,
		bound: target.memoryBytes,
		unit: 'bytes',
		mechanism: 'a ring of 1,024 changes; whoever is further behind gets a snapshot',
		runs: 'changes-0 to changes-10',
	}, {
		...common,
		quantity: 'processor: applying changes',
		formula: '0.266 changes/s × (intercept + slope × 1,800)',
		slope: `${shown('workspaces.processorMicroseconds')} µs a workspace`,
		value: target.changesPerSecond * at('workspaces.processorMicroseconds', target.workspaces) / microsecondsPerPercent,
		bound: target.processorPercent,
		unit: '% of a core',
		mechanism: 'digest checked once, maps copied',
		runs: 'workspaces-10 to workspaces-1800',
	}, {
		...common,
		quantity: 'messages: fan-out, one way',
		formula: 'slope × 0.266 changes/s',
		slope: `${shown('changes.bytesOutPerSecond')} bytes a change`,
		value: line('changes.bytesOutPerSecond').slope * target.changesPerSecond,
		bound: target.bytesPerSecond,
		unit: 'bytes/s',
		mechanism: 'announced to all neighbours, asked for once',
		runs: 'changes-0 to changes-10',
	}, {
		...common,
		quantity: 'time until in force everywhere',
		formula: 'poll 500 ms + fan-out (intercept + slope × 95)',
		slope: `${shown('daemons.slowestChangeMilliseconds')} ms a daemon`,
		value: 500 + at('daemons.slowestChangeMilliseconds', target.daemonsPerDataCentre),
		bound: target.everywhereMilliseconds,
		unit: 'ms',
		mechanism: 'two readers in each data centre; when both die at once, the next readers start after 4 s, and that change takes longer than 3 s',
		runs: 'daemons-4 to daemons-96',
	}, {
		...common,
		quantity: 'table reads, all daemons',
		formula: '16 readers × 2.2/s + 744 others / 10 s',
		slope: 'by the settings',
		value: reads,
		bound: target.tableReads,
		unit: 'reads/s',
		mechanism: 'readers by rendezvous hash; intervals jittered',
		runs: 'daemons-4 to daemons-96 (2 readers in each)',
	}, {
		...common,
		quantity: 'table writes, all daemons',
		formula: '0.266 changes/s × 2 rows',
		slope: 'by the protocol',
		value: target.changesPerSecond * 2,
		bound: target.tableWrites,
		unit: 'writes/s',
		mechanism: 'head and change in one transaction',
		runs: 'none: counted in the protocol',
	}];
}
