/**
 * Callers that send their requests as raw bytes over connections of their own, and judge by what arrives there whether an answer
 * is marked as complete: by its length, its last chunk, or, with neither, by a connection that is closed and not reset.
 */
import {connect, type Socket} from 'node:net';
import {hasConnectedPeer} from '../serving/has-connected-peer.js';

/**
 * How a caller uses its connections.
 *
 * - `kept`: HTTP/1.1, over connections that are used again.
 * - `close`: HTTP/1.1, each request over a new connection that is to be closed after it.
 * - `old`: HTTP/1.0, which knows no chunks.
 */
export const callerKinds = ['kept', 'close', 'old'] as const;
export type CallerKind = typeof callerKinds[number];

export type RawCall = {
	/** `IP:port`. */
	address: string;
	path: string;
	headers: Record<string, string>;
	body: string;
	timeoutMilliseconds: number;
};

/**
 * How a call ended.
 *
 * - `complete`: with an answer that is marked as complete.
 * - `not-connected`: no connection was established.
 * - `closed`, `reset`: the connection ended first.
 * - `timeout`: nothing of this came in time.
 */
export type CallEnd = 'complete' | 'not-connected' | 'closed' | 'reset' | 'timeout';

export type RawAnswer = {
	end: CallEnd;
	/** 0 without a head. */
	status: number;
	/** By name in lower case. */
	headers: Record<string, string>;
	/** What arrived of the body. */
	body: string;
};

const connectMilliseconds = 1000;

export class RawCaller {
	/** Connections that wait for the next request, by address. */
	readonly #kept = new Map<string, Socket[]>();

	/** Sends one request, over a kept connection if there is one and the kind allows it. */
	async send(kind: CallerKind, call: RawCall): Promise<RawAnswer> {
		const kept = kind === 'kept' ? this.#takeKept(call.address) : undefined;
		const socket = kept ?? connectTo(call.address);
		return new Promise(resolve => {
			let received = '';
			let hasConnected = kept !== undefined;
			const finish = (end: CallEnd): void => {
				clearTimeout(timer);
				clearTimeout(connectTimer);
				socket.removeAllListeners();
				socket.on('error', ignore);
				const {status, headers, body, ...answer} = parseAnswer(received);
				if (end === 'complete' && kind === 'kept' && answer.framing !== 'connection' && headers.connection !== 'close') {
					this.#keep(call.address, socket);
				} else {
					socket.destroy();
				}

				resolve({
					end: hasConnected ? end : 'not-connected', status, headers, body,
				});
			};

			const timer = setTimeout(finish, call.timeoutMilliseconds, 'timeout');
			const connectTimer = setTimeout(() => {
				if (!hasConnected) {
					finish('not-connected');
				}
			}, connectMilliseconds);
			socket.once('connect', () => {
				hasConnected = true;
			});
			socket.on('data', (bytes: Uint8Array) => {
				received += bytes.toString();
				if (parseAnswer(received).isComplete) {
					finish('complete');
				}
			});
			socket.once('end', () => {
				if (!hasConnectedPeer(socket)) {
					finish('reset');
					return;
				}

				const {status, framing} = parseAnswer(received);
				finish(status > 0 && framing === 'connection' ? 'complete' : 'closed');
			});
			socket.once('error', () => {
				finish('reset');
			});
			socket.write(requestBytes(kind, call));
		});
	}

	/** Closes the kept connections. */
	close(): void {
		for (const socket of [...this.#kept.values()].flat()) {
			socket.destroy();
		}

		this.#kept.clear();
	}

	#takeKept(address: string): Socket | undefined {
		const socket = this.#kept.get(address)?.pop();
		socket?.removeAllListeners();
		return socket;
	}

	#keep(address: string, socket: Socket): void {
		const kept = this.#kept.get(address) ?? [];
		this.#kept.set(address, [...kept, socket]);
		const drop = (): void => {
			socket.destroy();
			this.#kept.set(address, (this.#kept.get(address) ?? []).filter(other => other !== socket));
		};

		socket.on('error', drop).once('end', drop).once('close', drop);
	}
}

type Framing = 'length' | 'chunked' | 'connection';
type ParsedAnswer = Omit<RawAnswer, 'end'> & {framing: Framing; isComplete: boolean};

/** Parses what has arrived of an answer. The check's answers are ASCII, so a character is a byte. */
function parseAnswer(received: string): ParsedAnswer {
	const headEnd = received.indexOf('\r\n\r\n');
	if (headEnd === -1) {
		return {
			status: 0, headers: {}, body: '', framing: 'connection', isComplete: false,
		};
	}

	const [statusLine = '', ...lines] = received.slice(0, headEnd).split('\r\n');
	const headers = Object.fromEntries(lines.map(line => {
		const colon = line.indexOf(':');
		return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
	}));
	const status = Number(statusLine.split(' ', 2)[1]);
	const rest = received.slice(headEnd + 4);
	if (headers['transfer-encoding'] === 'chunked') {
		return {
			status, headers, framing: 'chunked', ...parseChunks(rest),
		};
	}

	const length = headers['content-length'];
	return length === undefined
		? {
			status, headers, body: rest, framing: 'connection', isComplete: false,
		}
		: {
			status, headers, body: rest.slice(0, Number(length)), framing: 'length', isComplete: rest.length >= Number(length),
		};
}

function parseChunks(bytes: string): {body: string; isComplete: boolean} {
	let body = '';
	for (let at = 0; ;) {
		const lineEnd = bytes.indexOf('\r\n', at);
		if (lineEnd === -1) {
			return {body, isComplete: false};
		}

		const size = Number.parseInt(bytes.slice(at, lineEnd), 16);
		if (size === 0) {
			return {body, isComplete: bytes.length >= lineEnd + 4};
		}

		body += bytes.slice(lineEnd + 2, lineEnd + 2 + size);
		at = lineEnd + 4 + size;
		if (at > bytes.length) {
			return {body, isComplete: false};
		}
	}
}

function requestBytes(kind: CallerKind, {path, headers, body}: RawCall): string {
	const connection = kind === 'close' ? {connection: 'close'} : {};
	const lines = Object.entries({...headers, ...connection, 'content-length': String(body.length)}).map(([name, value]) => `${name}: ${value}`);
	return [`POST ${path} HTTP/${kind === 'old' ? '1.0' : '1.1'}`, ...lines, '', body].join('\r\n');
}

function connectTo(address: string): Socket {
	const separator = address.lastIndexOf(':');
	return connect({
		host: address.slice(0, separator), port: Number(address.slice(separator + 1)), noDelay: true, allowHalfOpen: true,
	});
}

function ignore(): void {
	// The call has ended.
}
