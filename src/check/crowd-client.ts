/** A client of a crowd: sends a request in given pieces over a connection of its own, which it keeps open, and reads what it is sent. */
import {type Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

/** What a client sends. */
export type CrowdRequest = {
	head: string;
	/** The pieces of what follows the head, each written when the one before it has been passed on; may be without an end. */
	pieces: Iterable<Buffer>;
	/** Time between two pieces. */
	pauseMilliseconds: number;
};

const maxKeptBytes = 4096;

export class CrowdClient {
	/** The begin of what has arrived. */
	received = '';
	/** Whether all pieces were sent, or the connection has closed. */
	hasSent = false;
	readonly #socket: Socket;

	/** @param address - `IP:port`. */
	constructor(address: string) {
		const separator = address.lastIndexOf(':');
		this.#socket = connect({host: address.slice(0, separator), port: Number(address.slice(separator + 1)), noDelay: true});
		this.#socket.on('error', () => {
			// The close of the connection follows.
		});
		this.#socket.on('data', bytes => {
			if (this.received.length < maxKeptBytes) {
				this.received += bytes.toString('latin1');
			}
		});
	}

	/** The status of the answer; 0 without one. */
	get status(): number {
		return Number(/^(?:HTTP\/1\.1 1\d\d [^\r]*\r\n\r\n)*HTTP\/1\.1 (?<status>\d{3})/v.exec(this.received)?.groups?.status ?? 0);
	}

	get isOpen(): boolean {
		return !this.#socket.destroyed;
	}

	/** Sends until all pieces are sent, the connection closes, or the signal aborts. */
	async send({head, pieces, pauseMilliseconds}: CrowdRequest, signal: AbortSignal): Promise<void> {
		this.#socket.write(head);
		for (const piece of pieces) {
			if (this.#socket.destroyed || signal.aborted) {
				break;
			}

			if (!this.#socket.write(piece)) {
				await this.#drained(signal);
			}

			await delay(pauseMilliseconds);
		}

		this.hasSent = true;
	}

	leave(): void {
		this.#socket.destroy();
	}

	async #drained(signal: AbortSignal): Promise<void> {
		return new Promise(resolve => {
			const finish = (): void => {
				this.#socket.off('drain', finish).off('close', finish);
				signal.removeEventListener('abort', finish);
				resolve();
			};

			this.#socket.on('drain', finish).on('close', finish);
			signal.addEventListener('abort', finish);
		});
	}
}
