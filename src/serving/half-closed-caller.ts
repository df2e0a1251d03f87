/**
 * Tells a caller that has closed its connection from one that has closed only its sending side and waits for its answer.
 *
 * Both send a FIN, and nothing more until something is sent to them: a closed connection replies to any byte with a reset,
 * a half-closed one accepts it. So bytes that mean nothing to an HTTP client are sent while an answer is pending: before
 * its head an interim answer, within a chunked body a leading zero of the next chunk's size. Node stops to poll a connection
 * whose end it has read, so the operating system is asked whether the reset has arrived.
 *
 * Where neither is possible, any bytes of the answer itself serve. Without them a caller that has read nothing since its end
 * is taken for disconnected: one of HTTP/1.0, and one that half-closes within an answer with a length which then stalls. So
 * answers that are not complete when they begin should be sent in chunks.
 */
import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {noteClose} from './connection-close.js';
import {hasConnectedPeer} from './has-connected-peer.js';

/** Delays between two checks for a reset, from one probe to the next; short at first, since most callers are near. */
const checkDelaysMilliseconds = [5, 10, 20, 40, 75, 100] as const;
/** Time for the reply to the first probe; requests are not sent on before it. */
const replyMilliseconds = 150;
/** Parsers accept some sixteen digits of a chunk size. */
const maxLeadingZeros = 8;

/** How bytes can be sent to a caller without a change to its answer. */
type ProbeKind = 'interim-answer' | 'chunk-size' | 'none';

/** Selects the probe for the present stage of an answer. HTTP/1.0 has neither interim answers nor chunks. */
function probeKindOf(response: ServerResponse): ProbeKind {
	if (response.req.httpVersion !== '1.1') {
		return 'none';
	}

	if (!response.headersSent) {
		return 'interim-answer';
	}

	return response.chunkedEncoding ? 'chunk-size' : 'none';
}

const callers = new WeakMap<Socket, HalfClosedCaller>();

export class HalfClosedCaller {
	/** The caller at the other end of a connection; `undefined` unless its sending side ended while an answer was pending. */
	static of(socket: Socket): HalfClosedCaller | undefined {
		return callers.get(socket);
	}

	/**
	 * Starts to probe a caller whose sending side has ended. A connection that the caller has closed is destroyed, which
	 * closes the pending answers.
	 *
	 * @param socket - The connection, when `end` is emitted.
	 * @param pending - Its unfinished answers, kept up to date by the owner of the connection.
	 */
	static watch(socket: Socket, pending: ReadonlySet<ServerResponse>): void {
		if (pending.size > 0 && socket.writable) {
			callers.set(socket, new HalfClosedCaller(socket, pending));
		}
	}

	readonly #socket: Socket;
	readonly #pending: ReadonlySet<ServerResponse>;
	/** Resolves when the caller has had time to reply to the first probe, or its connection has closed. */
	readonly #firstReply: Promise<void>;
	/** Whether it has accepted bytes since its end; its answer may then be silent where no probe is possible. */
	#hasAcceptedBytes = false;
	#leadingZeros = 0;
	/** Bytes sent up to the last probe, including it. */
	#bytesWritten: number;

	private constructor(socket: Socket, pending: ReadonlySet<ServerResponse>) {
		this.#socket = socket;
		this.#pending = pending;
		this.#bytesWritten = socket.bytesWritten;
		this.#firstReply = new Promise(resolve => {
			const timer = setTimeout(resolve, replyMilliseconds);
			socket.once('close', () => {
				clearTimeout(timer);
				resolve();
			});
		});
		void this.#run();
	}

	/** Checks whether the caller has closed its connection, after it has had time to reply to a probe. */
	async hasDisconnected(): Promise<boolean> {
		await this.#firstReply;
		return this.#closeIfReset();
	}

	async #run(): Promise<void> {
		if (this.#closeIfReset() || !this.#canShowThatItReads()) {
			this.#closeUnverifiable();
			return;
		}

		while (this.#pending.size > 0) {
			this.#probe();
			for (const milliseconds of checkDelaysMilliseconds) {
				await delay(milliseconds);
				if (this.#closeIfReset()) {
					return;
				}
			}

			this.#hasAcceptedBytes ||= this.#wasSentBytes();
			if (!this.#hasAcceptedBytes) {
				this.#closeUnverifiable();
				return;
			}
		}
	}

	/** The answer that is sent at present; the others of the connection wait for its end. */
	#current(): ServerResponse | undefined {
		return [...this.#pending].find(({socket, writableEnded}) => socket !== null && !writableEnded);
	}

	/** Whether a probe or a body that is being sent can show if the caller reads. */
	#canShowThatItReads(): boolean {
		const response = this.#current();
		return response === undefined || response.headersSent || probeKindOf(response) !== 'none';
	}

	#probe(): void {
		const response = this.#current();
		const hasNewBytes = this.#socket.bytesWritten > this.#bytesWritten;
		this.#leadingZeros = hasNewBytes ? 0 : this.#leadingZeros;
		const kind = response === undefined || this.#socket.writableLength > 0 ? 'none' : probeKindOf(response);
		if (kind === 'interim-answer') {
			response?.writeContinue();
		} else if (kind === 'chunk-size' && this.#leadingZeros < maxLeadingZeros) {
			this.#leadingZeros++;
			response?.flushHeaders();
			this.#socket.write('0');
		}

		this.#bytesWritten = this.#socket.bytesWritten;
	}

	/** Whether something was sent since the last probe, or is still being sent, to which a closed connection would reply. */
	#wasSentBytes(): boolean {
		const response = this.#current();
		return response === undefined
			|| probeKindOf(response) !== 'none'
			|| this.#socket.bytesWritten > this.#bytesWritten
			|| this.#socket.writableLength > 0;
	}

	#closeIfReset(): boolean {
		if (hasConnectedPeer(this.#socket)) {
			return false;
		}

		noteClose(this.#socket, 'half-closed-reset');
		this.#socket.destroy();
		return true;
	}

	#closeUnverifiable(): void {
		noteClose(this.#socket, 'half-closed-unverifiable');
		this.#socket.destroy();
	}
}
