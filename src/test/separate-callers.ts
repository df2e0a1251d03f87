/** Callers in a thread of their own, which go on while the event loop of a test stands still. */
import {once} from 'node:events';
import {Worker} from 'node:worker_threads';

/** One request on a connection of its own; a caller that leaves closes the connection right after it. */
export type SeparateCall = {bytes: string; leaves: boolean};

/** The callers, all connected. */
export type SeparateCallers = {
	/** Lets all of them send. */
	send(): void;
	stop(): Promise<unknown>;
};

const program = `
	const {parentPort, workerData: {port, calls}} = require('node:worker_threads');
	const {connect} = require('node:net');
	const sockets = calls.map(() => connect(port, '127.0.0.1').on('error', () => {}).resume());
	let open = 0;
	for (const socket of sockets) {
		socket.once('connect', () => {
			socket.setNoDelay(true);
			if (++open === sockets.length) {
				parentPort.postMessage('connected');
			}
		});
	}

	parentPort.once('message', () => {
		for (const [index, socket] of sockets.entries()) {
			socket.write(calls[index].bytes, () => {
				if (calls[index].leaves) {
					socket.end();
				}
			});
		}
	});
`;

/** Connects callers to `IP:port`. */
export async function connectCallers(address: string, calls: readonly SeparateCall[]): Promise<SeparateCallers> {
	const worker = new Worker(program, {eval: true, workerData: {port: Number(address.split(':')[1]), calls}});
	await once(worker, 'message');
	return {
		send() {
			worker.postMessage('send');
		},
		stop: async () => worker.terminate(),
	};
}

/** Keeps the event loop of this thread from doing anything, as in a process that is paused. */
export function standStill(milliseconds: number): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds);
}
