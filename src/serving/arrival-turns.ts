/**
 * Gives connections on which requests arrive their turns to be read, so that one turn of the event loop never takes long; see
 * `decision/arrivals/turn-budget`. Nothing is measured unless many pieces arrive in a turn: most bodies are a single piece.
 */
import {type Socket} from 'node:net';
import {TurnBudget, type TurnUser} from '../decision/arrivals/turn-budget.js';

/** A connection that may be held back. */
export type TurnConnection = TurnUser & {readonly socket: Socket};

/** The pieces in a turn from which on their time is measured. */
const measuredPieces = 8;
const piecesPerSample = 16;

export class ArrivalTurns<Connection extends TurnConnection> {
	readonly #budget = new TurnBudget<Connection>();
	readonly #now: () => number;
	readonly #onSpent: (connection: Connection) => void;
	/** Pieces since the last turn whose time was measured. */
	#pieces = 0;
	#sampledAt = 0;
	#isScheduled = false;

	/**
	 * @param now - Returns milliseconds of the steady clock.
	 * @param onSpent - Called with the connection whose piece has used up the time of the turn, and which is held back.
	 */
	constructor(now: () => number, onSpent: (connection: Connection) => void) {
		this.#now = now;
		this.#onSpent = onSpent;
	}

	/** How many connections are not read at present. */
	get heldBack(): number {
		return this.#budget.heldBack;
	}

	/** Follows a new connection; it is read at once unless the time of this turn is used up. */
	add(connection: Connection): void {
		const {socket} = connection;
		// Node reads on by itself when a part of a body has been taken.
		socket.on('resume', () => {
			if (this.#budget.isHeldBack(connection)) {
				socket.pause();
			}
		});
		if (this.#budget.isSpent) {
			this.holdBack(connection);
		}
	}

	/** Records that a connection is to be closed. */
	remove(connection: Connection): void {
		this.#budget.forget(connection);
	}

	/** Reads a connection again at once. */
	release(connection: Connection): void {
		if (this.#budget.isHeldBack(connection)) {
			this.#budget.forget(connection);
			connection.socket.resume();
		}
	}

	/** Counts a piece of a request that has arrived. */
	notePiece(connection: Connection): void {
		this.#pieces++;
		if (this.#pieces < measuredPieces || (this.#pieces > measuredPieces && this.#pieces % piecesPerSample !== 0)) {
			return;
		}

		const now = this.#now();
		if (this.#pieces === measuredPieces) {
			this.#sampledAt = now;
			this.#schedule();
			return;
		}

		this.#budget.spend(connection, now - this.#sampledAt);
		this.#sampledAt = now;
		if (this.#budget.isSpent && !this.#budget.isHeldBack(connection)) {
			this.holdBack(connection);
			this.#onSpent(connection);
		}
	}

	/** Stops to read a connection until its turn comes. */
	holdBack(connection: Connection): void {
		this.#budget.holdBack(connection);
		connection.socket.pause();
		this.#schedule();
	}

	#schedule(): void {
		if (!this.#isScheduled) {
			this.#isScheduled = true;
			setImmediate(() => {
				this.#nextTurn();
			});
		}
	}

	#nextTurn(): void {
		this.#isScheduled = false;
		this.#pieces = 0;
		for (const {socket} of this.#budget.nextTurn()) {
			socket.resume();
		}

		if (this.#budget.heldBack > 0) {
			this.#schedule();
		}
	}
}
