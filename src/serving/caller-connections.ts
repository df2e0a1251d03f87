/**
 * The connections of one listener, and what each may use before its request is complete: a place among all connections, and time to read
 * what arrives. `decision/arrivals` decides who gives way.
 *
 * Node offers no event for a piece of a body before it is parsed, so pieces are counted where its parser passes them on: in `push` of the
 * request. A request that follows an unanswered one on its connection counts as a piece too.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {arrivalDueAfter, bodyGraceMilliseconds} from '../decision/arrivals/arrival-due.js';
import {type ResourceHolder, SharedResource} from '../decision/arrivals/shared-resource.js';
import {retryAfterMilliseconds} from '../decision/memory/retry-after.js';
import {type Refusal} from '../shared/types.js';
import {ArrivalTurns, type TurnConnection} from './arrival-turns.js';
import {noteClose} from './connection-close.js';
import {connectionRefusalBytes} from './connection-refusal.js';
import {sendRefusal} from './send-refusal.js';

/**
 * What became of a connection for which there was no room.
 *
 * - `arriving-closed`: it was closed for another one, while a request was arriving on it and stood still.
 * - `idle-closed`: it was closed for another one, while it was idle.
 * - `not-accepted`: it was closed at once, since all others were in use.
 * - `request-refused`: its request was refused, since there was no room for a connection to an endpoint.
 */
export type ConnectionOutcome = 'arriving-closed' | 'idle-closed' | 'not-accepted' | 'request-refused';

/** A connection that was affected by a limit. */
export type ConnectionReport = {
	outcome: ConnectionOutcome;
	/** `IP:port` of the client. */
	client: string;
	receivedBytes: number;
	/** What callers and their requests hold, and may hold. */
	connections: number;
	capacity: number;
};

/** Called with the outcomes. */
export type ConnectionReports = {
	onLimited(report: ConnectionReport): void;
	/** Connections are not read until their turn comes; once for each time that this begins. */
	onHeldBack(connections: number): void;
};

export const noConnectionReports: ConnectionReports = {
	onLimited() {
		// Not every listener has a log.
	},
	onHeldBack() {
		// Not every listener has a log.
	},
};

/** For listeners that only operators and the platform reach. */
export const defaultMaxConnections = 256;
/**
 * Time for the head of a request, if there is no room for other connections. If all others are in use, the connection that has waited
 * longest for a head is closed before: a crowd that opens many at once would otherwise keep everybody else out for this time.
 */
export const headGraceMilliseconds = 100;
/** An idle connection is closed for another one after this time at the earliest; its caller may be about to use it again. */
export const idleGraceMilliseconds = 2000;
const arrivingRank = 0;
const idleRank = 1;

class CallerConnection implements ResourceHolder, TurnConnection {
	displacementRank: number | undefined = arrivingRank;
	dueAt: number;
	spentMilliseconds = 0;
	/** Whether a request of it has been answered. */
	isProven = false;
	/** Its requests that are not answered yet. */
	openRequests = 0;
	/** The answer to the request whose body is arriving. */
	arriving: ServerResponse | undefined;
	/** Whether it was closed for another one; nothing that still arrives is read. */
	isDisplaced = false;
	readonly socket: Socket;
	readonly client: string;

	constructor(socket: Socket, now: number) {
		this.socket = socket;
		this.client = `${socket.remoteAddress}:${socket.remotePort}`;
		this.dueAt = now + headGraceMilliseconds;
	}
}

export class CallerConnections {
	readonly #capacity: number;
	readonly #now: () => number;
	readonly #reports: ConnectionReports;
	readonly #places = new SharedResource<CallerConnection>();
	readonly #turns: ArrivalTurns<CallerConnection>;
	readonly #bySocket = new WeakMap<Socket, CallerConnection>();

	/**
	 * @param capacity - How many connections, and connections to endpoints for their requests, there may be.
	 * @param now - Returns milliseconds of the steady clock.
	 * @param reports - Called with the outcomes.
	 */
	constructor(capacity: number, now: () => number, reports = noConnectionReports) {
		this.#capacity = capacity;
		this.#now = now;
		this.#reports = reports;
		this.#turns = new ArrivalTurns(now, () => {
			this.#holdBackUnproven();
		});
	}

	/** What callers and their requests hold, and how many connections are not read at present. */
	get state(): {held: number; heldBack: number} {
		return {held: this.#places.total, heldBack: this.#turns.heldBack};
	}

	/** Admits a new connection. Returns false, and closes it, if there is no room for it. */
	accept(socket: Socket): boolean {
		const connection = new CallerConnection(socket, this.#now());
		if (!this.#makeRoom()) {
			this.#report('not-accepted', connection);
			noteClose(socket, 'connection-limit');
			socket.destroy();
			return false;
		}

		this.#bySocket.set(socket, connection);
		this.#places.hold(connection, 1);
		socket.once('close', () => {
			this.#forget(connection);
			// Node does not end a request that has been answered before its body was complete.
			connection.arriving?.req.destroy();
		});
		this.#turns.add(connection);
		return true;
	}

	/** Admits a request whose head has arrived. Returns false, and refuses it, if there is no room for it. */
	admit(request: IncomingMessage, response: ServerResponse): boolean {
		const connection = this.#bySocket.get(request.socket);
		if (connection === undefined) {
			return true;
		}

		connection.displacementRank = undefined;
		if (!this.#makeRoom()) {
			this.#report('request-refused', connection);
			sendLimitRefusal(response, connection);
			return false;
		}

		if (connection.openRequests > 0) {
			this.#turns.notePiece(connection);
		}

		connection.openRequests++;
		this.#places.hold(connection, 1 + connection.openRequests);
		response.once('close', () => {
			this.#noteAnswered(connection, request);
		});
		if (hasBody(request)) {
			this.#followBody(connection, request, response);
		}

		return true;
	}

	#followBody(connection: CallerConnection, request: IncomingMessage, response: ServerResponse): void {
		if (connection.openRequests === 1) {
			connection.displacementRank = arrivingRank;
			connection.dueAt = this.#now() + bodyGraceMilliseconds;
			connection.arriving = response;
		}

		const push = request.push.bind(request);
		request.push = (piece: Uint8Array | null, encoding) => {
			if (connection.isDisplaced) {
				return true;
			}

			if (piece === null) {
				connection.displacementRank = undefined;
				connection.arriving = undefined;
				if (connection.openRequests === 1) {
					// Otherwise it would not be read that the caller has left, and the request would be sent to an endpoint.
					this.#turns.release(connection);
				}
			} else {
				connection.dueAt = arrivalDueAfter(connection.dueAt, piece.length, this.#now());
				this.#turns.notePiece(connection);
			}

			return push(piece, encoding);
		};

		response.once('prefinish', () => {
			if (!request.complete) {
				// Otherwise Node's parser would drop the rest itself, without a limit to the time that it takes.
				request.read(0);
				request.resume();
			}
		});
	}

	#noteAnswered(connection: CallerConnection, request: IncomingMessage): void {
		connection.openRequests--;
		if (connection.isDisplaced || this.#places.amountOf(connection) === 0) {
			return;
		}

		this.#places.hold(connection, 1 + connection.openRequests);
		if (connection.openRequests > 0) {
			return;
		}

		const now = this.#now();
		connection.arriving = undefined;
		connection.isProven ||= request.complete;
		connection.displacementRank = request.complete ? idleRank : arrivingRank;
		connection.dueAt = request.complete ? now + idleGraceMilliseconds : now;
	}

	/** Makes room for one more connection, if connections stand still. Returns false if there is none. */
	#makeRoom(): boolean {
		const now = this.#now();
		const excess = this.#places.total + 1 - this.#capacity;
		const displaced = this.#places.selectDisplaced(excess, now) ?? this.#places.selectDisplaced(excess, now + headGraceMilliseconds);
		for (const connection of displaced ?? []) {
			this.#displace(connection);
		}

		return displaced !== undefined;
	}

	#displace(connection: CallerConnection): void {
		const {socket, arriving, displacementRank} = connection;
		this.#report(displacementRank === idleRank ? 'idle-closed' : 'arriving-closed', connection);
		this.#forget(connection);
		connection.isDisplaced = true;
		noteClose(socket, 'connection-limit');
		if (arriving?.headersSent === false) {
			sendLimitRefusal(arriving, connection);
		} else if (displacementRank === arrivingRank && socket.bytesRead > 0 && socket.bytesWritten === 0) {
			socket.write(connectionRefusalBytes({status: 408, refusal: {reason: 'too-slow', ran: 'not-run', message: 'the request did not arrive in time'}}));
		}

		socket.destroySoon();
	}

	/** Stops to read the connections of which nobody knows yet what they send. */
	#holdBackUnproven(): void {
		for (const connection of this.#places.holders) {
			if (!connection.isProven && connection.displacementRank !== undefined) {
				this.#turns.holdBack(connection);
			}
		}

		this.#reports.onHeldBack(this.#turns.heldBack);
	}

	#forget(connection: CallerConnection): void {
		this.#places.hold(connection, 0);
		this.#turns.remove(connection);
	}

	#report(outcome: ConnectionOutcome, {client, socket}: CallerConnection): void {
		this.#reports.onLimited({
			outcome, client, receivedBytes: socket.bytesRead, connections: this.#places.total, capacity: this.#capacity,
		});
	}
}

function hasBody({headers}: IncomingMessage): boolean {
	return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

/** Refuses a request for which there is no room, and closes its connection. */
function sendLimitRefusal(response: ServerResponse, {client}: CallerConnection): void {
	const milliseconds = retryAfterMilliseconds(client, Number.POSITIVE_INFINITY);
	const refusal: Refusal = {
		reason: 'connection-limit', ran: 'not-run', message: 'this instance has no connection left for the request', retryAfterMilliseconds: milliseconds,
	};
	sendRefusal(response, refusal, {headers: {connection: 'close', 'retry-after': (milliseconds / 1000).toFixed(2)}});
}
