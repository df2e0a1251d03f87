/**
 * A TCP relay between one instance and one endpoint, in the process of the check. What happens to new connections of a
 * partitioned instance is decided in that instance (`redirect-endpoint-dials.ts`); here only open connections are affected.
 */
import {once} from 'node:events';
import {
	type AddressInfo, connect, createServer, type Server, type Socket,
} from 'node:net';
import {afterNextPoll} from '../serving/after-next-poll.js';

/**
 * The links between one instance and all endpoints.
 *
 * - `open`: they work.
 * - `reset`: open connections are reset, and new ones are refused.
 * - `hang`: open connections carry no more bytes, and new ones are never established.
 * - `refuse`: open connections go on, and new ones are refused.
 */
export type LinkState = 'open' | 'reset' | 'hang' | 'refuse';

export class EndpointLink {
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();
	readonly #target: {host: string; port: number};
	#isSilent = false;
	#connections = 0;
	#accepted = 0;
	#connectionLimit = Number.POSITIVE_INFINITY;

	/** @param target - `IP:port` of the endpoint. */
	constructor(target: string) {
		const separator = target.lastIndexOf(':');
		this.#target = {host: target.slice(0, separator), port: Number(target.slice(separator + 1))};
		this.#server = createServer({allowHalfOpen: true}, socket => {
			this.#relay(socket);
		});
	}

	/**
	 * Starts to listen, on a free port if none is given.
	 *
	 * @param backlog - How many connections may wait to be accepted.
	 * @returns `IP:port`.
	 */
	async listen(host = '127.0.0.1', port = 0, backlog = 511): Promise<string> {
		this.#server.listen(port, host, backlog);
		await once(this.#server, 'listening');
		return `${host}:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Refuses new connections until it listens again; those that wait to be accepted, which a close would reset, go on too. */
	async refuse(): Promise<void> {
		// Each poll accepts one connection.
		for (let accepted = -1; accepted !== this.#accepted;) {
			accepted = this.#accepted;
			await afterNextPoll();
		}

		this.#server.close();
	}

	/** Resets new connections while so many are open. */
	limitConnections(limit: number): void {
		this.#connectionLimit = limit;
	}

	/** Applies a state to the open connections. Bytes that were held up are delivered when the link opens again. */
	set(state: LinkState): void {
		this.#isSilent = state === 'hang';
		for (const socket of this.#sockets) {
			if (state === 'reset') {
				socket.resetAndDestroy();
			} else if (this.#isSilent) {
				socket.pause();
			} else {
				socket.resume();
			}
		}
	}

	close(): void {
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	#relay(socket: Socket): void {
		this.#accepted++;
		if (this.#connections >= this.#connectionLimit) {
			socket.resetAndDestroy();
			return;
		}

		this.#connections++;
		socket.once('close', () => {
			this.#connections--;
		});
		const onward = connect({...this.#target, allowHalfOpen: true});
		for (const [from, to] of [[socket, onward], [onward, socket]] as const) {
			this.#sockets.add(from);
			from.on('data', bytes => {
				to.write(bytes);
			});
			from.on('end', () => {
				to.end();
			});
			from.on('error', () => {
				to.resetAndDestroy();
			});
			from.once('close', () => {
				this.#sockets.delete(from);
				if (!this.#isSilent) {
					to.destroySoon();
				}
			});
		}
	}
}
