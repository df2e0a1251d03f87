/** A worker process of the slopes benchmark. It runs several daemons, or one measurement of state or polls. */
import process from 'node:process';
import {HttpInstanceList} from '../../adapters/http-instance-list.js';
import {HttpTableService} from '../../adapters/http-table-service.js';
import {readChangesAfter} from '../../protocol/configuration/configuration-table.js';
import {HttpModelEngine} from '../../adapters/http-model-engine.js';
import {BenchDaemon} from './bench-daemon.js';
import {heldBytes} from './held-bytes.js';
import {measureState} from './measure-state.js';
import {type WorkerResponse, type WorkerMeasure, type WorkerCommand} from './worker-messages.js';

const daemons = new Map<string, BenchDaemon>();
let heldBytesAtStart = 0;
let resetAt = 0;
let processorAtReset = process.cpuUsage();

async function respondTo(command: WorkerCommand): Promise<WorkerResponse> {
	switch (command.kind) {
		case 'start': {
			heldBytesAtStart = heldBytes();
			const instances = await Promise.all(command.names.map(async name => {
				const daemon = new BenchDaemon(name, command.dataCentre, command.reportsPerSecond);
				daemons.set(name, daemon);
				return daemon.start();
			}));
			return {kind: 'started', instances};
		}

		case 'list': {
			for (const {service} of daemons.values()) {
				service.applyList(command.instances);
			}

			return {kind: 'done'};
		}

		case 'change': {
			[...daemons.values()][0]?.accept(command.change);
			return {kind: 'done'};
		}

		case 'reset': {
			reset();
			return {kind: 'done'};
		}

		case 'kill': {
			for (const name of command.names) {
				daemons.get(name)?.stop();
				daemons.delete(name);
			}

			return {kind: 'done'};
		}

		case 'measure': {
			return {kind: 'measured', measure: measure()};
		}

		case 'state': {
			return {kind: 'state', ...measureState(command.size)};
		}

		case 'poll': {
			return {kind: 'polled', processorMicroseconds: await poll(command)};
		}
	}
}

function reset(): void {
	for (const {service, configuration} of daemons.values()) {
		Object.assign(service.counts, {
			bytesIn: 0, bytesOut: 0, messagesIn: 0, messagesOut: 0, dropped: 0, unknownKinds: 0,
		});
		configuration.inForceAt.clear();
	}

	resetAt = Date.now();
	processorAtReset = process.cpuUsage();
}

function measure(): WorkerMeasure {
	const {user, system} = process.cpuUsage(processorAtReset);
	const wallMilliseconds = Date.now() - resetAt;
	const all = [...daemons.values()];
	const sum = (value: (daemon: BenchDaemon) => number): number => all.reduce((total, daemon) => total + value(daemon), 0);
	const versions = [...new Set(all.flatMap(({configuration}) => [...configuration.inForceAt.keys()]))];
	return {
		daemons: all.length,
		wallMilliseconds,
		processorMilliseconds: (user + system) / 1000,
		heldBytes: heldBytes() - heldBytesAtStart,
		bytesIn: sum(({service}) => service.counts.bytesIn),
		bytesOut: sum(({service}) => service.counts.bytesOut),
		messagesIn: sum(({service}) => service.counts.messagesIn),
		messagesOut: sum(({service}) => service.counts.messagesOut),
		dropped: sum(({service}) => service.counts.dropped),
		readers: sum(({service}) => service.node.isReader ? 1 : 0),
		ownedEndpoints: sum(({service}) => service.node.loadGossip.ownedCount),
		knownEndpoints: sum(({service}) => service.node.loadGossip.knownCount),
		live: all.map(({service}) => service.node.membership.ownLive().length),
		inForceAt: versions.map(version => {
			const times = all.flatMap(({configuration}) => configuration.inForceAt.get(version) ?? []);
			return {version, at: Math.max(...times), daemons: times.length};
		}),
	};
}

async function poll({address, polls, path}: Extract<WorkerCommand, {kind: 'poll'}>): Promise<number> {
	const engine = new HttpModelEngine();
	const list = new HttpInstanceList(address);
	const table = new HttpTableService(address);
	const polled = {
		load: async () => engine.loadReport(address), list: async () => list.read(), table: async () => readChangesAfter(table, 0),
	};
	const once = async (): Promise<unknown> => polled[path]();
	await once();
	const before = process.cpuUsage();
	for (let count = 0; count < polls; count++) {
		await once();
	}

	const {user, system} = process.cpuUsage(before);
	return (user + system) / polls;
}

process.on('message', (order: WorkerCommand) => {
	void respondTo(order).then(answer => process.send!(answer));
});
