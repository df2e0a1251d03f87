/**
 * A connection to an endpoint through a relay, which an HTTP client uses like a socket.
 *
 * It ends in order only where the relay reports that the endpoint closed its connection. If the relay's process ends, its
 * sockets close as well; without that report an answer that ends with its connection would look complete.
 */
import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {Duplex} from 'node:stream';
import {encodeFrame, FrameReader} from '../../peer/framing/frame-codec.js';
import {type OpenFrame, type RelayFrame, type RelayRefusal} from './relay-messages.js';

/** Why a relayed connection was not established. */
export class RelayDeclinedError extends Error {
	override readonly name = 'RelayDeclinedError';
	readonly reason: RelayRefusal;

	constructor(reason: RelayRefusal) {
		super(`the relay opened no connection: ${reason}`);
		this.reason = reason;
	}
}

export class RelayedSocket extends Duplex {
	/** Whether the endpoint has not accepted the connection yet; then `connect` is emitted, as by a socket. */
	connecting = true;
	/** Whether the endpoint has accepted the connection. */
	hasConnected = false;
	readonly #socket: Socket;
	readonly #reader = new FrameReader();
	#isComplete = false;

	/**
	 * Connects to a relay.
	 *
	 * @param relay - The relay's `IP:port`.
	 * @param open - What is requested from it.
	 */
	constructor(relay: string, open: OpenFrame) {
		super({allowHalfOpen: false});
		const separator = relay.lastIndexOf(':');
		this.#socket = connect({host: relay.slice(0, separator), port: Number(relay.slice(separator + 1)), noDelay: true});
		this.#socket.write(encodeFrame(open));
		this.#socket.on('data', bytes => {
			this.#receive(Buffer.from(bytes));
		});
		this.#socket.on('error', error => {
			this.destroy(error);
		});
		this.#socket.once('close', () => {
			this.destroy(this.#isComplete ? undefined : new Error('the connection to the relay ended'));
		});
	}

	/** Nothing is delayed; the HTTP client calls this on every connection. */
	setNoDelay(): this {
		return this;
	}

	override _read(): void {
		this.#socket.resume();
	}

	override _write(chunk: Buffer, _encoding: BufferEncoding, callback: (error?: Error | null) => void): void {
		this.#socket.write(chunk, callback);
	}

	override _final(callback: (error?: Error | null) => void): void {
		this.#isComplete = true;
		this.#socket.end(callback);
	}

	override _destroy(error: Error | null, callback: (error?: Error | null) => void): void {
		this.connecting = false;
		this.#socket.destroy();
		callback(error);
	}

	#receive(bytes: Buffer): void {
		this.#reader.read(bytes).caseOf({
			Left: ({kind}) => {
				this.destroy(new Error(`a frame of the relay cannot be read: ${kind}`));
			},
			Right: frames => {
				for (const frame of frames) {
					this.#handleFrame(frame);
				}
			},
		});
	}

	#handleFrame(frame: unknown): void {
		if (this.destroyed) {
			return;
		}

		if (frame instanceof Uint8Array) {
			if (!this.push(frame)) {
				this.#socket.pause();
			}

			return;
		}

		const {kind, ...rest} = frame as RelayFrame;
		if (kind === 'opened' && this.connecting) {
			this.connecting = false;
			this.hasConnected = true;
			this.emit('connect');
		} else if (kind === 'end' && !this.connecting) {
			this.#isComplete = true;
			this.push(null);
		} else {
			this.destroy('reason' in rest ? new RelayDeclinedError(rest.reason) : new Error('the relay sent an unexpected frame'));
		}
	}
}
