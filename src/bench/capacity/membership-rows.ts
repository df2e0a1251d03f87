/** The rows of docs/CAPACITY.md for membership and the platform's list. */
import {type CapacityRow, type Figures} from './capacity-row.js';
import {microsecondsPerPercent, target} from './capacity-target.js';

export function membershipRows({at, shown, value}: Figures): CapacityRow[] {
	const listBytes = at('list.bytes', target.listedInstances);
	return [{
		role: 'membership',
		quantity: 'messages: heartbeats and changes, one way',
		formula: 'measured at 48 daemons that watch nothing',
		slope: `${value('owned-0', 'bytesOutPerSecond').toFixed(0)} bytes/s`,
		value: value('owned-0', 'bytesOutPerSecond'),
		bound: target.bytesPerSecond,
		unit: 'bytes/s',
		status: 'carried',
		mechanism: 'about 11 links whatever the size: own cell and four further ones of the ring',
		runs: 'owned-0',
	}, {
		role: 'membership',
		quantity: 'processor: all peer work',
		formula: 'measured at 96 daemons',
		slope: `${shown('daemons.processorPercent')} % a daemon`,
		value: value('daemons-96', 'processorPercent'),
		bound: target.processorPercent,
		unit: '% of a core',
		status: 'carried',
		mechanism: 'heartbeats each second; shards worked out only when membership changes',
		runs: 'daemons-96',
	}, {
		role: 'membership',
		quantity: 'state: members, links, summaries',
		formula: 'measured at 96 daemons',
		slope: `${shown('daemons.heldBytes')} bytes a daemon`,
		value: value('daemons-96', 'heldBytes'),
		bound: target.memoryBytes,
		unit: 'bytes',
		status: 'carried',
		mechanism: 'members of the own data centre, summaries of the own cell',
		runs: 'daemons-96',
	}, {
		role: 'membership',
		quantity: 'platform list, read by each daemon each second',
		formula: 'intercept + slope × 12,760 instances',
		slope: `${shown('list.bytes')} bytes an instance`,
		value: listBytes,
		bound: target.bytesPerSecond,
		unit: 'bytes/s',
		status: 'not carried yet',
		mechanism: 'to come: two list readers in each data centre pass on differences of their own data centre over the peer '
			+ 'links; the readers need a list by data centre, or a conditional read, from the platform',
		runs: 'list-50 to list-12760',
	}, {
		role: 'membership',
		quantity: 'platform list, processor to read it each second',
		formula: '(intercept + slope × 12,760) + taking it in (intercept + slope × 12,000)',
		slope: `${shown('list.processorMicroseconds')} and ${shown('servers.processorMicroseconds')} µs an instance`,
		value: (at('list.processorMicroseconds', target.listedInstances) + at('servers.processorMicroseconds', target.servers)) / microsecondsPerPercent,
		bound: target.processorPercent,
		unit: '% of a core',
		status: 'not carried yet',
		mechanism: 'to come: as above; differences cost by the change, not by the list',
		runs: 'list-50 to list-12760, servers-50 to servers-12000',
	}];
}
