/** A caller that keeps its connection open between requests, and records how a request ended on the wire. */
import {Agent, request as sendRequest} from 'node:http';
import {type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

/**
 * How a connection ended before an answer was complete.
 *
 * - `refused`: it was never established.
 * - `in-order`: the instance closed it after it had read everything.
 * - `reset`: it failed, or the instance had bytes left unread.
 * - `abandoned`: the caller gave up.
 */
export type ConnectionEnding = 'refused' | 'in-order' | 'reset' | 'abandoned';

const connectMilliseconds = 1000;

/** A request to send. */
export type OutgoingRequest = {
	address: string;
	path: string;
	headers: Record<string, string>;
	/** Pieces of the body, and the pause between two of them. */
	pieces: string[];
	pauseMilliseconds: number;
	/** Whether the length of the body is stated; otherwise it is sent in chunks. */
	statesLength: boolean;
	/** Whether the caller ends its sending side after the request. */
	halfCloses: boolean;
	giveUpMilliseconds: number;
};

/** What the caller got. Times are in milliseconds of `performance.now()`. */
export type Received = {
	/** When the last byte of the request was sent; absent if it was not sent completely. */
	sentAt: number | undefined;
	endedAt: number;
	/** 0 without an answer. */
	status: number;
	isWhole: boolean;
	body: string;
	ending: ConnectionEnding | undefined;
	/** Whether the connection had served earlier requests. */
	isKept: boolean;
};

export class KeptCaller {
	readonly #agent = new Agent({keepAlive: true, maxSockets: 1});

	/** Sends one request, on the open connection if there is one. */
	async send({address, path, headers, pieces, pauseMilliseconds, statesLength, halfCloses, giveUpMilliseconds}: OutgoingRequest): Promise<Received> {
		const separator = address.lastIndexOf(':');
		const outgoing = sendRequest({
			host: address.slice(0, separator),
			port: Number(address.slice(separator + 1)),
			method: 'POST',
			path,
			agent: this.#agent,
			headers: {...headers, ...(statesLength ? {'content-length': String(pieces.join('').length)} : {'transfer-encoding': 'chunked'})},
		});
		const received: Received = {
			sentAt: undefined, endedAt: 0, status: 0, isWhole: false, body: '', ending: undefined, isKept: false,
		};
		return new Promise(resolve => {
			const end = (ending: ConnectionEnding | undefined): void => {
				clearTimeout(timer);
				if (received.endedAt === 0) {
					Object.assign(received, {endedAt: performance.now(), ending});
					resolve(received);
				}
			};

			const timer = setTimeout(() => {
				end('abandoned');
				outgoing.destroy();
			}, giveUpMilliseconds);
			outgoing.once('socket', socket => {
				if (!socket.connecting) {
					return;
				}

				const connectTimer = setTimeout(() => {
					end('refused');
					outgoing.destroy();
				}, connectMilliseconds);
				for (const event of ['connect', 'close']) {
					socket.once(event, () => {
						clearTimeout(connectTimer);
					});
				}
			});
			outgoing.once('finish', () => {
				received.sentAt = performance.now();
				received.isKept = outgoing.reusedSocket;
				if (halfCloses) {
					outgoing.socket?.end();
				}
			});
			outgoing.on('error', (error: NodeJS.ErrnoException) => {
				end(endingOf(error, outgoing.socket));
			});
			outgoing.once('response', response => {
				received.status = response.statusCode ?? 0;
				response.setEncoding('utf8').on('data', (chunk: string) => {
					received.body += chunk;
				}).on('error', (error: NodeJS.ErrnoException) => {
					end(endingOf(error, outgoing.socket));
				}).once('close', () => {
					received.isWhole = response.complete;
					end(response.complete ? undefined : 'in-order');
				});
			});
			void (async () => {
				for (const [index, piece] of pieces.entries()) {
					await delay(index === 0 ? 0 : pauseMilliseconds);
					outgoing.write(piece);
				}

				outgoing.end();
			})();
		});
	}

	/** Closes the connection. */
	close(): void {
		this.#agent.destroy();
	}
}

/** Node reports an orderly end without an answer as a reset too, but not as a failure of a system call. */
function endingOf({syscall}: NodeJS.ErrnoException, socket: Socket | null): ConnectionEnding {
	if (syscall === 'connect' || socket === null) {
		return 'refused';
	}

	return syscall === undefined ? 'in-order' : 'reset';
}
