/** The rows of docs/CAPACITY.md for load gossip and polls of the endpoints' load. */
import {type CapacityRow, type Figures} from './capacity-row.js';
import {microsecondsPerPercent, target} from './capacity-target.js';

export function knowledgeRows({at, shown, value}: Figures): CapacityRow[] {
	return [{
		role: 'load knowledge',
		quantity: 'messages: summaries to the cell, one way',
		formula: 'measured at 16 endpoints, less that at none',
		slope: `${shown('owned.bytesOutPerSecond')} bytes/s an endpoint (flat from the budget on)`,
		value: value('owned-16', 'bytesOutPerSecond') - value('owned-0', 'bytesOutPerSecond'),
		bound: target.bytesPerSecond,
		unit: 'bytes/s',
		status: 'carried',
		mechanism: 'ten bytes an endpoint to seven cell peers, at most 700 bytes/s by a budget',
		runs: 'owned-0, owned-16',
	}, {
		role: 'load knowledge',
		quantity: 'state: servers of all data centres, as the list gives them',
		formula: 'intercept + slope × 12,000',
		slope: `${shown('servers.heldBytes')} bytes a server`,
		value: at('servers.heldBytes', target.servers),
		bound: target.memoryBytes,
		unit: 'bytes',
		status: 'carried',
		mechanism: 'name, data centre and owner of all; load of the cell\'s alone',
		runs: 'servers-50 to servers-12000',
	}, {
		role: 'load knowledge',
		quantity: 'polls of owned endpoints over HTTP, once a second',
		formula: '541 bytes both ways × 15.8',
		slope: `${value('poll-1', 'bytes').toFixed(0)} bytes a poll`,
		value: value('poll-1', 'bytes') * target.serversPerDaemon,
		bound: target.bytesPerSecond,
		unit: 'bytes/s',
		status: 'not carried yet',
		mechanism: 'to come: the endpoint\'s load in the trailer of each answer (a cell sees 126 answers/s for its 126 endpoints), and a poll only of those that gave none',
		runs: 'poll-1',
	}, {
		role: 'load knowledge',
		quantity: 'polls, processor',
		formula: 'figure × 15.8 polls/s',
		slope: `${value('poll-1', 'processorMicroseconds').toFixed(0)} µs a poll`,
		value: value('poll-1', 'processorMicroseconds') * target.serversPerDaemon / microsecondsPerPercent,
		bound: target.processorPercent,
		unit: '% of a core',
		status: 'carried',
		mechanism: 'kept connections; it is the largest part of control\'s processor time',
		runs: 'poll-1',
	}];
}
