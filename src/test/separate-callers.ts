/** Callers in a separate thread, which continue while the event loop of the test is blocked. */
import {once} from 'node:events';
import {Worker} from 'node:worker_threads';

/** One request on its own connection; a caller with `leaves` closes the connection right after sending. */
export type SeparateCall = {bytes: string; leaves: boolean};

type SeparateCallerOptions = {
	/** Callers with `leaves` keep their connections open until `leave` is called. */
	leavesWhenTold?: boolean;
	/** Each request is sent as soon as its caller is connected, instead of all together by `send`. */
	sendsWhenConnected?: boolean;
};

/** Connected callers. */
export type SeparateCallers = {
	/** Makes all callers send their requests. */
	send(): void;
	/** Makes the callers with `leaves` close their connections, if they were told to wait for that. */
	leave(): void;
	stop(): Promise<unknown>;
};

const workerSource = `
	const {parentPort, workerData: {port, calls, leavesWhenTold, sendsWhenConnected}} = require('node:worker_threads');
	const {connect} = require('node:net');
	const sockets = calls.map(() => connect(port, '127.0.0.1').on('error', () => {}).resume());
	const send = index => {
		sockets[index].write(calls[index].bytes, () => {
			if (calls[index].leaves && !leavesWhenTold) {
				sockets[index].destroy();
			}
		});
	};

	let open = 0;
	for (const [index, socket] of sockets.entries()) {
		socket.once('connect', () => {
			socket.setNoDelay(true);
			if (sendsWhenConnected) {
				send(index);
			}

			if (++open === sockets.length) {
				parentPort.postMessage('connected');
			}
		});
	}

	parentPort.once('message', () => {
		for (const index of sockets.keys()) {
			send(index);
		}

		parentPort.once('message', () => {
			for (const socket of sockets.filter((_, index) => calls[index].leaves)) {
				socket.destroy();
			}
		});
	});
`;

/** Connects callers to `IP:port`. */
export async function connectCallers(address: string, calls: readonly SeparateCall[], {leavesWhenTold = false, sendsWhenConnected = false}: SeparateCallerOptions = {}): Promise<SeparateCallers> {
	const worker = new Worker(workerSource, {
		eval: true, workerData: {
			port: Number(address.split(':')[1]), calls, leavesWhenTold, sendsWhenConnected,
		},
	});
	await once(worker, 'message');
	return {
		send() {
			worker.postMessage('send');
		},
		leave() {
			worker.postMessage('leave');
		},
		stop: async () => worker.terminate(),
	};
}

/** Blocks the event loop of this thread, as in a paused process. */
export function blockEventLoop(milliseconds: number): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds);
}
