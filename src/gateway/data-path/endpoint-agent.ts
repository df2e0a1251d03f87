/**
 * Keeps idle connections to endpoints for reuse, and guards against these failures:
 *
 * - An endpoint sends bytes that no request waits for, such as a second answer. They would be taken for the next answer on
 *   that connection, so any byte on an idle connection closes it.
 * - An endpoint closes an idle connection just as a request is sent, and nobody can tell whether it read that request. So an
 *   idle connection is closed before the endpoint's own timeout, early enough for an endpoint that stops for a while.
 * - Idle connections of all instances fill an endpoint that limits their number, so that it resets new ones. So an instance keeps
 *   its part of them only.
 * - A connection attempt hangs because nothing answers at the address; `endpoint-exchange.ts` has the timeout for that.
 */
import {Agent, type ClientRequest} from 'node:http';
import {type Socket} from 'node:net';
import {type Duplex} from 'node:stream';
import {type ConnectionView} from '../../decision/connections/connection-view.js';
import {EndedConnections} from '../../decision/connections/ended-connections.js';
import {KeptTimes} from '../../decision/connections/kept-times.js';
import {idleTimeoutMilliseconds} from '../../decision/limits/idle-timeout.js';

/** How many names of addresses are kept; more than the endpoints of a large deployment. */
const maxNames = 20_000;

export class EndpointAgent extends Agent implements ConnectionView {
	readonly #idleTimeouts = new WeakMap<Duplex, number>();
	readonly #maxIdle = new WeakMap<Duplex, number>();
	readonly #idleListeners = new WeakMap<Duplex, {data: () => void; end: () => void}>();
	readonly #names = new Map<string, string>();
	readonly #keptTimes = new KeptTimes();
	readonly #ended = new EndedConnections();
	readonly #now: () => number;

	/** @param now - Returns the milliseconds of the steady clock. */
	constructor(now: () => number) {
		// The most recently used connection is reused first, so that spare connections reach their timeout and close.
		super({keepAlive: true, scheduling: 'lifo', maxFreeSockets: 64});
		this.#now = now;
	}

	/**
	 * Records how long the endpoint keeps the connection open while it is idle.
	 *
	 * @param socket - The connection.
	 * @param keepAlive - The answer's `Keep-Alive` header.
	 * @param endpoint - Its address, and how many connections to it may be kept idle.
	 */
	noteKeepAlive(socket: Duplex, keepAlive: string | string[] | undefined, {address, maxIdle}: {address: string; maxIdle: number}): void {
		this.#maxIdle.set(socket, maxIdle);
		const seconds = /timeout=(?<seconds>\d+)/v.exec(String(keepAlive ?? ''))?.groups?.seconds;
		const milliseconds = idleTimeoutMilliseconds(seconds === undefined ? undefined : Number(seconds) * 1000);
		this.#idleTimeouts.set(socket, milliseconds);
		this.#keptTimes.note(address, maxIdle > 0 ? Math.max(0, milliseconds) : 0);
	}

	/** Records that the endpoint at `IP:port` has ended a connection without a response to a request. */
	noteEnded(address: string): void {
		this.#ended.noteEnded(address, this.#now());
	}

	/** Whether a connection to `IP:port`, in use or idle, is open. */
	hasOpenConnection(address: string): boolean {
		const name = this.#nameOf(address);
		return [this.sockets, this.freeSockets].some(pool => pool[name]?.some(socket => socket.readyState === 'open') ?? false);
	}

	/** Whether an idle connection is open in both directions, and its endpoint has ended none lately. */
	hasIdle(address: string, now: number): boolean {
		const isOpen = this.freeSockets[this.#nameOf(address)]?.some(socket => socket.readyState === 'open') ?? false;
		return isOpen && !this.#ended.hasEnded(address, now);
	}

	keptMilliseconds(address: string): number | undefined {
		return this.#keptTimes.of(address);
	}

	/** Called by Node when an answer is complete; returning false closes the connection. */
	// eslint-disable-next-line @typescript-eslint/strict-void-return -- Node reads the value; its published types do not say so
	override keepSocketAlive(socket: Duplex): boolean {
		const limit = this.#idleTimeouts.get(socket) ?? idleTimeoutMilliseconds();
		if (limit <= 0 || socket.destroyed || this.#idleBeside(socket as Socket) >= (this.#maxIdle.get(socket) ?? Number.POSITIVE_INFINITY)) {
			return false;
		}

		const {remoteAddress, remotePort} = socket as Socket;
		const data = (): void => {
			socket.destroy();
		};

		const end = (): void => {
			this.noteEnded(`${remoteAddress}:${remotePort}`);
		};

		this.#idleListeners.set(socket, {data, end});
		socket.on('data', data);
		socket.once('end', end);
		socket.once('error', end);
		(socket as Socket).setTimeout(limit);
		return true;
	}

	/** Called by Node when an idle connection is reused. */
	override reuseSocket(socket: Duplex, request: ClientRequest): void {
		// Removes the listener that Node added when the connection became idle; otherwise each reuse would leave one behind.
		super.reuseSocket(socket, request);
		const listeners = this.#idleListeners.get(socket);
		if (listeners !== undefined) {
			socket.off('data', listeners.data);
			socket.off('end', listeners.end);
			socket.off('error', listeners.end);
			this.#idleListeners.delete(socket);
		}

		(socket as Socket).setTimeout(0);
	}

	/** Node's name of an address. Each placement asks for all endpoints, and composing a name takes longer than looking it up. */
	#nameOf(address: string): string {
		let name = this.#names.get(address);
		if (name === undefined) {
			const separator = address.lastIndexOf(':');
			name = this.getName({host: address.slice(0, separator), port: Number(address.slice(separator + 1))});
			if (this.#names.size >= maxNames) {
				this.#names.clear();
			}

			this.#names.set(address, name);
		}

		return name;
	}

	/** How many other connections to the same endpoint are idle. */
	#idleBeside({remoteAddress, remotePort}: Socket): number {
		return this.freeSockets[this.getName({host: remoteAddress, port: remotePort})]?.length ?? 0;
	}
}
