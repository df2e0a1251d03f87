/** The rows of docs/CAPACITY.md that add up the cost of the control part of one daemon. */
import {type CapacityRow, type Figures} from './capacity-row.js';
import {
	changesMeasuredSeconds, maxRetainedChanges, microsecondsPerPercent, target,
} from './capacity-target.js';

export function totalRows({at, line, shown, value}: Figures): CapacityRow[] {
	const peerBytes = value('daemons-96', 'bytesInPerSecond') + value('daemons-96', 'bytesOutPerSecond');
	const pollBytes = value('poll-1', 'bytes') * target.serversPerDaemon;
	const pollPercent = value('poll-1', 'processorMicroseconds') * target.serversPerDaemon / microsecondsPerPercent;
	const applyPercent = target.changesPerSecond * at('workspaces.processorMicroseconds', target.workspaces) / microsecondsPerPercent;
	const memory = value('daemons-96', 'heldBytes') + at('workspaces.heldBytes', target.workspaces)
		+ at('servers.heldBytes', target.servers) + (line('changes.heldBytes').slope / changesMeasuredSeconds * maxRetainedChanges);
	const directoryShard = line('prompts.heldBytes').slope * target.prompts * target.piecesPerPrompt / target.daemons;
	return [{
		role: 'control, together',
		quantity: 'processor without the list',
		formula: 'peers + polls + applying changes',
		slope: `${shown('daemons.processorPercent')} % a daemon`,
		value: value('daemons-96', 'processorPercent') + pollPercent + applyPercent,
		bound: target.processorPercent,
		unit: '% of a core',
		status: 'carried',
		mechanism: 'the rows above',
		runs: 'daemons-96, poll-1, workspaces-1800',
	}, {
		role: 'control, together',
		quantity: 'memory without the cache directory',
		formula: 'peers + servers + workspaces + kept changes',
		slope: 'the rows above',
		value: memory,
		bound: target.memoryBytes,
		unit: 'bytes',
		status: 'carried',
		mechanism: 'heap and buffers that control holds; the runtime itself is not counted',
		runs: 'daemons-96, servers-12000, workspaces-1800, changes-10',
	}, {
		role: 'control, together',
		quantity: 'memory with a sharded cache directory',
		formula: 'the same + directory shard',
		slope: 'the rows above',
		value: memory + directoryShard,
		bound: target.memoryBytes,
		unit: 'bytes',
		status: 'not carried yet',
		mechanism: 'would fit; the shards are not built',
		runs: 'daemons-96, servers-12000, workspaces-1800, changes-10, prompts-730000',
	}, {
		role: 'control, together',
		quantity: 'bytes between daemons, both ways',
		formula: 'in + out at 96 daemons of 16 endpoints, 0.3 changes/s',
		slope: `${shown('daemons.bytesOutPerSecond')} bytes/s a daemon`,
		value: peerBytes,
		bound: target.bytesPerSecond,
		unit: 'bytes/s',
		status: 'carried',
		mechanism: 'payload of the TCP links; TCP and IP headers are not counted',
		runs: 'daemons-96',
	}, {
		role: 'control, together',
		quantity: 'the same with HTTP polls of endpoints',
		formula: 'in + out + polls',
		slope: 'the rows above',
		value: peerBytes + pollBytes,
		bound: target.bytesPerSecond,
		unit: 'bytes/s',
		status: 'not carried yet',
		mechanism: 'see polls of owned endpoints',
		runs: 'daemons-96, poll-1',
	}];
}
