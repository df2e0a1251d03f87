/** A caller of a check over a raw connection that reads its answer not at all, or a piece at a time, and may send its body slowly. */
import {type Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

export class UnreadCaller {
	/** What has arrived. */
	receivedBytes = 0;
	/** The status of the answer; 0 before its head was read. */
	status = 0;
	readonly #socket: Socket;

	/** @param address - `IP:port`. */
	constructor(address: string) {
		const separator = address.lastIndexOf(':');
		this.#socket = connect({host: address.slice(0, separator), port: Number(address.slice(separator + 1)), noDelay: true});
		this.#socket.pause();
		this.#socket.on('error', () => {
			// The close of the connection follows.
		});
	}

	get isClosed(): boolean {
		return this.#socket.destroyed;
	}

	/** Sends a request head, and as much of the body as is given. */
	send(lines: string[], body = ''): void {
		this.#socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`);
	}

	/** Sends a part of the body. Returns false if the connection is closed. */
	sendPiece(piece: Buffer | string): boolean {
		return !this.#socket.destroyed && this.#socket.write(piece);
	}

	/** Reads whatever arrives from now on. */
	read(): void {
		this.#socket.on('data', bytes => {
			this.#note(bytes);
		});
		this.#socket.resume();
	}

	/** Reads one piece at a time, with a pause after each, until the connection closes. */
	async trickle(pauseMilliseconds: number): Promise<void> {
		this.#socket.on('data', bytes => {
			this.#note(bytes);
			this.#socket.pause();
		});
		while (!this.#socket.destroyed) {
			await delay(pauseMilliseconds);
			this.#socket.resume();
		}
	}

	/** Resolves when the connection has closed. */
	async closed(): Promise<void> {
		if (!this.#socket.destroyed) {
			await once(this.#socket, 'close');
		}
	}

	leave(): void {
		this.#socket.destroy();
	}

	#note(bytes: Buffer): void {
		if (this.receivedBytes === 0) {
			this.status = Number(bytes.toString('latin1', 9, 12));
		}

		this.receivedBytes += bytes.length;
	}
}
