/**
 * Kept connections to endpoints.
 *
 * Three failures are guarded against. An endpoint sends bytes that nobody waits for, such as a second answer; they would
 * be taken for the next answer on that connection, so any byte on an idle connection ends it. An endpoint closes an idle
 * connection just as a request leaves; nobody could tell whether that request was read, so a connection is given up
 * before the endpoint's own limit. A connection attempt hangs because nothing answers at the address.
 */
import {Agent, type ClientRequest} from 'node:http';
import {type Socket} from 'node:net';
import {type Duplex} from 'node:stream';

/** Given up this long before the endpoint's stated limit: a round trip, a timer that fires late, and a slow instance. */
const idleMarginMilliseconds = 800;
/** Used where an endpoint states no limit: it may be anything, so only quick reuse is safe. */
const unstatedIdleMilliseconds = 700;
/** Kept no longer than this without use, whatever the endpoint allows; an idle connection costs both sides memory. */
const mostIdleMilliseconds = 10_000;

export class EndpointAgent extends Agent {
	readonly #statedLimits = new WeakMap<Duplex, number>();
	readonly #watched = new WeakMap<Duplex, () => void>();

	constructor() {
		// The last one given back is the first one used, so that spare connections grow old and close.
		super({keepAlive: true, scheduling: 'lifo', maxFreeSockets: 64});
	}

	/**
	 * Notes how long the endpoint keeps the connection when it is idle.
	 *
	 * @param socket - The connection.
	 * @param keepAlive - The answer's `Keep-Alive` header.
	 */
	noteKeepAlive(socket: Duplex, keepAlive: string | string[] | undefined): void {
		const seconds = /timeout=(?<seconds>\d+)/v.exec(String(keepAlive ?? ''))?.groups?.seconds;
		const limit = seconds === undefined ? unstatedIdleMilliseconds : (Number(seconds) * 1000) - idleMarginMilliseconds;
		this.#statedLimits.set(socket, Math.min(mostIdleMilliseconds, limit));
	}

	/** Called by Node when an answer is over; false closes the connection. */
	// eslint-disable-next-line @typescript-eslint/strict-void-return -- Node reads the value; its published types do not say so
	override keepSocketAlive(socket: Duplex): boolean {
		const limit = this.#statedLimits.get(socket) ?? unstatedIdleMilliseconds;
		if (limit <= 0 || socket.destroyed) {
			return false;
		}

		const end = (): void => {
			socket.destroy();
		};

		this.#watched.set(socket, end);
		socket.on('data', end);
		(socket as Socket).setTimeout(limit);
		return true;
	}

	/** Called by Node when an idle connection is used again. */
	override reuseSocket(socket: Duplex, request: ClientRequest): void {
		// Takes off the listener that Node put on when the connection became idle; one more would stay with each use.
		super.reuseSocket(socket, request);
		const end = this.#watched.get(socket);
		if (end !== undefined) {
			socket.off('data', end);
			this.#watched.delete(socket);
		}

		(socket as Socket).setTimeout(0);
	}
}
