/**
 * Accepts connections of other instances on one address, for one purpose. A connection that does not say in time what it is for is
 * closed; all are closed at the end.
 */
import {once} from 'node:events';
import {createServer, type Server, type Socket} from 'node:net';

export type PeerListenerOptions = {
	/** `IP:port` to listen at. */
	address: string;
	/** Whether a connection stays open in one direction when the peer has ended the other. */
	allowHalfOpen?: boolean;
	/** Connections beyond it are closed at once. */
	maxConnections?: number;
	/**
	 * Called with each connection.
	 *
	 * @param noteOpened - To be called when the peer has said what the connection is for.
	 */
	accept: (socket: Socket, noteOpened: () => void) => void;
};

const openTimeoutMilliseconds = 1000;

export class PeerListener {
	readonly #options: PeerListenerOptions;
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();

	constructor(options: PeerListenerOptions) {
		this.#options = options;
		this.#server = createServer({noDelay: true, allowHalfOpen: options.allowHalfOpen ?? false}, socket => {
			this.#accept(socket);
		});
	}

	/** Listens until the signal aborts, and closes all connections. */
	async run(signal: AbortSignal): Promise<void> {
		const {address} = this.#options;
		const separator = address.lastIndexOf(':');
		this.#server.listen(Number(address.slice(separator + 1)), address.slice(0, separator));
		await once(this.#server, 'listening');
		if (!signal.aborted) {
			await once(signal, 'abort');
		}

		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	#accept(socket: Socket): void {
		const {maxConnections = Number.POSITIVE_INFINITY, accept} = this.#options;
		if (this.#sockets.size >= maxConnections) {
			socket.destroy();
			return;
		}

		const timer = setTimeout(() => {
			socket.destroy();
		}, openTimeoutMilliseconds);
		this.#sockets.add(socket);
		socket.once('close', () => {
			clearTimeout(timer);
			this.#sockets.delete(socket);
		});
		socket.on('error', () => {
			socket.destroy();
		});
		accept(socket, () => {
			clearTimeout(timer);
		});
	}
}
