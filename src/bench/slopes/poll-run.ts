/** Measures the cost of one poll over HTTP: bytes in both directions on the socket, and processor time of the polling process. */
import {type Socket} from 'node:net';
import {createInstanceListStandIn} from '../../stand-in/instance-list-stand-in.js';
import {ModelEngineStandIn} from '../../stand-in/model-engine-stand-in.js';
import {type StandInDefinition, startStandIn} from '../../stand-in/stand-in-server.js';
import {exchangeJson} from '../../adapters/http-client.js';
import {type ListedInstance} from '../../shared/types.js';
import {createTableServiceStandIn} from '../../stand-in/table-service-stand-in.js';
import {type PollPath} from './worker-messages.js';
import {WorkerProcess} from './worker-process.js';

const listTimeoutMilliseconds = 10_000;

/** The cost of one poll. */
export type PollCost = {bytes: number; processorMicroseconds: number};

/** Measures polls of an engine's load. */
export async function runLoadPolls(polls: number): Promise<PollCost> {
	const engine = new ModelEngineStandIn({
		model: 'permit-model', weightVersion: '2026-11', prefillTokensPerSecond: 9000, millisecondsPerToken: 10, cachePieces: 10, batchLimit: 32,
	});
	return countPolls(engine, 'load', polls, async () => undefined);
}

/** Measures polls of the table for changes while there are none. */
export async function runTablePolls(polls: number): Promise<PollCost> {
	return countPolls(createTableServiceStandIn(), 'table', polls, async () => undefined);
}

/** Measures polls of the platform's list with `count` instances. */
export async function runListPolls(count: number, polls: number): Promise<PollCost> {
	const instances: ListedInstance[] = Array.from({length: count}, (_, index) => ({
		name: `split-engine-${index}`, role: 'model-engine', dataCentre: 'split-riva', service: 'permits', address: '10.12.14.16:8080', peerAddress: '', state: 'live',
	}));
	return countPolls(createInstanceListStandIn(), 'list', polls, async address => exchangeJson({
		method: 'PUT', url: `http://${address}/instances`, body: {instances}, timeoutMilliseconds: listTimeoutMilliseconds,
	}));
}

async function countPolls(kind: StandInDefinition, path: PollPath, polls: number, prepare: (address: string) => Promise<unknown>): Promise<PollCost> {
	const standIn = await startStandIn(kind, {host: '127.0.0.1', port: 0});
	const worker = new WorkerProcess();
	try {
		await prepare(standIn.address);
		const sockets = new Set<Socket>();
		standIn.server.on('connection', (socket: Socket) => {
			sockets.add(socket);
		});
		const {processorMicroseconds} = await worker.request({
			kind: 'poll', address: standIn.address, polls, path,
		}, 'polled');
		const bytes = [...sockets].reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0);
		return {bytes: bytes / (polls + 1), processorMicroseconds};
	} finally {
		await worker.stop();
		await standIn.close();
	}
}
