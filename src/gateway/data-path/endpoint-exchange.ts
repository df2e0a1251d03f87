/**
 * Sends one request to one endpoint over HTTP/1.1. Target, headers and body are forwarded unchanged in both directions.
 */
import {type Buffer} from 'node:buffer';
import {request as sendRequest, type ClientRequest, type IncomingMessage} from 'node:http';
import {type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {type Either, Left, Right} from 'purify-ts/Either';
import {type ConnectionView} from '../../decision/connections/connection-view.js';
import {type ConnectionShare, maxIdleConnections} from '../../decision/limits/max-idle-connections.js';
import {ResetEndpoints} from '../../decision/limits/reset-endpoints.js';
import {systemMomentClock} from '../../adapters/system-moment-clock.js';
import {type MomentClock} from '../../ports/moment-clock.js';
import {type RelayedSocket} from '../relay/relayed-socket.js';
import {
	framingOf, type AnswerFraming, type ConnectionEnd, type ConnectionUse,
} from './answer-transfer.js';
import {AnswerFields} from './answer-fields.js';
import {AnswerStart, type AnswerStartResult} from './answer-start.js';
import {EndpointAgent} from './endpoint-agent.js';
import {discardUnreadBody} from './discard-unread-body.js';
import {isClosedInOrder} from './is-closed-in-order.js';

/** A request to an endpoint. */
export type EndpointCall = {
	/** `IP:port`. */
	address: string;
	method: string;
	target: string;
	/** Alternating names and values. */
	rawHeaders: string[];
	body: Buffer;
	/** An answer that echoes another id belongs to another request. */
	attemptId: string;
	/** The header in which the answer echoes the id, in lower case. */
	attemptIdHeader: string;
	/** The maximum number of connections to the endpoint from all instances together; 0 where there is none. */
	connectionLimit?: number;
	/** Replaces the connection that is opened by default. It serves this request only. */
	connection?: RelayedSocket | undefined;
	/** Asked once a new connection has been established; if the request is not wanted any more, it is not written. */
	isStillWanted?(): Promise<boolean>;
	/** Called when the request is written to its connection. */
	onWrite?(connection: ConnectionUse): void;
};

/**
 * How a call failed before the head of an answer arrived.
 *
 * - `not-sent`: no connection was established, or the endpoint had reset it, so no byte was sent.
 * - `not-wanted`: no byte was sent, since the request was not wanted any more once there was a connection.
 * - `unknown`: the request was sent and may have run.
 */
export type ExchangeFailure = {
	kind: 'not-sent' | 'not-wanted' | 'unknown';
	connection: ConnectionUse;
	/** Whether the endpoint ended its connection, as a full one does: its process is there, and so is the way to it. */
	isReset: boolean;
	detail: string;
};

/** An answer whose head has arrived. */
export type EndpointAnswer = {
	status: number;
	statusText: string;
	/** Alternating names and values. */
	rawHeaders: string[];
	body: IncomingMessage;
	framing: AnswerFraming;
	connection: ConnectionUse;
	header(name: string): string | undefined;
	/** The state of the connection so far; a body that ends because its connection failed is incomplete. */
	connectionEnd(): ConnectionEnd;
	/**
	 * Drains a body that nobody reads, so that the connection can be reused.
	 *
	 * @param withinMilliseconds - Time for the rest to arrive before the connection is closed; the default suits a short page.
	 */
	discard(withinMilliseconds?: number): void;
};

/** A call in flight. */
export type OpenExchange = {
	answer: Promise<Either<ExchangeFailure, EndpointAnswer>>;
	/** Closes the connection, so that the endpoint stops its work. */
	cancel(): void;
};

/** Sends requests to endpoints. */
export interface EndpointExchanges {
	open(call: EndpointCall): OpenExchange;
}

/**
 * Timeout for opening a connection. A round trip within a region takes a few milliseconds, and a host that has disappeared
 * never answers. A quarter of a second leaves time for an attempt elsewhere within the shortest usual objective, and is less
 * than the second after which a lost SYN packet is retransmitted.
 */
const connectMilliseconds = 250;
/** The same through a relay, which has that timeout itself. */
const relayedConnectMilliseconds = 400;

/** Why bytes are no answer. */
const faultMessages = {
	invalid: 'the bytes that arrived are no answer in HTTP/1.0 or HTTP/1.1',
	'too-long': 'the interim answers are too long',
	fields: 'the name of a field of the answer is invalid',
} as const;

/** The errors of a connection that its other side has ended. */
const endCodes: ReadonlySet<string | undefined> = new Set(['ECONNRESET', 'EPIPE']);

type ConnectionNotes = {
	noteEnd(end: ConnectionEnd): void;
	connectionEnd(): ConnectionEnd;
};

export class HttpEndpointExchanges implements EndpointExchanges {
	readonly #agent = new EndpointAgent(() => this.#clock.moment().steady);
	readonly #resets = new ResetEndpoints();
	readonly #share: () => Pick<ConnectionShare, 'instance' | 'instances'>;
	readonly #clock: Pick<MomentClock, 'moment'>;

	/** @param share - Returns the name of this instance and the number of instances. */
	constructor(share: () => Pick<ConnectionShare, 'instance' | 'instances'> = () => ({instance: '', instances: 1}), clock: Pick<MomentClock, 'moment'> = systemMomentClock) {
		this.#share = share;
		this.#clock = clock;
	}

	open(call: EndpointCall): OpenExchange {
		const separator = call.address.lastIndexOf(':');
		const outgoing = sendRequest({
			host: call.address.slice(0, separator),
			port: Number(call.address.slice(separator + 1)),
			method: call.method,
			path: call.target,
			headers: call.rawHeaders as unknown as Record<string, string>,
			setHost: false,
			...(call.connection === undefined ? {agent: this.#agent} : {createConnection: () => call.connection!}),
		});
		let connectionEnd: ConnectionEnd = 'open';
		const noteEnd = (end: ConnectionEnd): void => {
			connectionEnd = connectionEnd === 'open' || connectionEnd === 'in-order' ? end : connectionEnd;
		};

		const answer = this.#awaitAnswer(outgoing, call, {noteEnd, connectionEnd: () => connectionEnd});
		return {
			answer,
			cancel() {
				if (outgoing.destroyed) {
					return;
				}

				// Must come first: destroying the request drops unread bytes of its answer, and Node reports an ordinary end.
				noteEnd('cancelled');
				outgoing.destroy();
			},
		};
	}

	/** Whether a connection to an address, in use or idle, is open. */
	hasOpenConnection(address: string): boolean {
		return this.#agent.hasOpenConnection(address);
	}

	/** The idle connections, as placement sees them. */
	get connections(): ConnectionView {
		return this.#agent;
	}

	/** Closes all connections to endpoints. */
	close(): void {
		this.#agent.destroy();
	}

	async #awaitAnswer(outgoing: ClientRequest, call: EndpointCall, {noteEnd, connectionEnd}: ConnectionNotes): Promise<Either<ExchangeFailure, EndpointAnswer>> {
		let failureKind: ExchangeFailure['kind'] = 'not-sent';
		const use = (): ConnectionUse => call.connection === undefined ? connectionUseOf(outgoing) : 'relayed';
		const failure = (detail: string, isReset = false): Either<ExchangeFailure, never> => Left({
			kind: failureKind, connection: use(), isReset, detail,
		});
		const write = (connection: ConnectionUse): void => {
			failureKind = 'unknown';
			call.onWrite?.(connection);
			outgoing.end(call.body.length === 0 ? undefined : call.body);
			// Head and body are written in one call. Where that fails at once, the endpoint had reset the connection before, and no
			// byte was sent; a later error tells nothing.
			if (call.connection === undefined && outgoing.socket?.errored) {
				failureKind = 'not-sent';
			}
		};

		let isForeign = false;
		const refuseForeignBytes = (socket: Socket): void => {
			const start = new AnswerStart();
			const fields = new AnswerFields();
			let startResult: AnswerStartResult = 'more';
			const check = (bytes: Buffer): void => {
				startResult = startResult === 'more' ? start.push(bytes) : startResult;
				const fieldsResult = fields.push(bytes);
				if (fieldsResult !== 'more' && startResult !== 'more') {
					socket.off('data', check);
				}

				const fault = startResult === 'valid' || startResult === 'more' ? (fieldsResult === 'invalid' ? 'fields' : undefined) : startResult;
				if (fault !== undefined) {
					isForeign = true;
					socket.off('data', check);
					outgoing.destroy(new Error(faultMessages[fault]));
				}
			};

			// Must run before Node's own listener, which parses the bytes.
			socket.prependListener('data', check);
			outgoing.once('close', () => {
				socket.off('data', check);
			});
		};

		const now = (): number => this.#clock.moment().steady;
		const openedAt = now();
		const writeIfWanted = async (): Promise<void> => {
			const settleMilliseconds = this.#resets.settleMilliseconds(call.address, now() - openedAt, now());
			if (settleMilliseconds > 0 && call.connection === undefined) {
				await delay(settleMilliseconds);
			}

			const isWanted = await call.isStillWanted?.() ?? true;
			if (outgoing.destroyed) {
				return;
			}

			if (isWanted) {
				write(use());
			} else {
				failureKind = 'not-wanted';
				outgoing.destroy();
			}
		};

		return new Promise(resolve => {
			outgoing.once('socket', socket => {
				const noteSocketEnd = (): void => {
					noteEnd(isClosedInOrder(socket) ? 'in-order' : 'reset');
				};

				refuseForeignBytes(socket);
				// Must run before Node's own listener, which closes this side of the connection.
				socket.prependOnceListener('end', noteSocketEnd);
				outgoing.once('close', () => {
					socket.off('end', noteSocketEnd);
				});
				if (outgoing.reusedSocket) {
					write('kept');
					return;
				}

				// After a pause of this process the timer and the `connect` event are due together, and timers run first. The
				// event is handled before the timeout counts, or every endpoint would look unreachable after each pause.
				const timeoutMilliseconds = call.connection === undefined ? connectMilliseconds : relayedConnectMilliseconds;
				const timer = setTimeout(() => {
					setImmediate(() => {
						if (socket.connecting) {
							outgoing.destroy(new Error(`no connection within ${timeoutMilliseconds} ms`));
						}
					});
				}, timeoutMilliseconds);
				socket.setNoDelay(true);
				socket.once('connect', () => {
					clearTimeout(timer);
					void writeIfWanted();
				});
				socket.once('close', () => {
					clearTimeout(timer);
				});
			});
			// Node emits this error for a reset before it ends a body without a length, so the reset is recorded in time.
			outgoing.on('error', (error: NodeJS.ErrnoException) => {
				noteEnd('reset');
				const isReset = call.connection === undefined && endCodes.has(error.code);
				// Node reports a cancelled request in the same way.
				if (isReset && connectionEnd() !== 'cancelled') {
					this.#agent.noteEnded(call.address);
				}

				if (isReset && !outgoing.reusedSocket) {
					this.#resets.noteReset(call.address, now());
				}

				resolve(failure(error.message, isReset));
			});
			outgoing.once('close', () => {
				resolve(failure('the connection ended without an answer'));
			});
			outgoing.once('response', response => {
				if (isForeign) {
					return;
				}

				const echoed = response.headers[call.attemptIdHeader];
				if (echoed !== undefined && echoed !== call.attemptId) {
					outgoing.destroy();
					resolve(failure('the answer belongs to another request'));
					return;
				}

				if (call.connection === undefined) {
					const maxIdle = maxIdleConnections({...this.#share(), address: call.address, connectionLimit: call.connectionLimit ?? 0});
					this.#agent.noteKeepAlive(response.socket, response.headers['keep-alive'], {address: call.address, maxIdle});
				}

				resolve(Right({
					...answerOf(response),
					framing: framingOf(response, call.method),
					connection: use(),
					connectionEnd,
					discard(withinMilliseconds) {
						discardUnreadBody(response, outgoing, withinMilliseconds);
					},
				}));
			});
		});
	}
}

function connectionUseOf(outgoing: ClientRequest): ConnectionUse {
	return outgoing.reusedSocket ? 'kept' : 'new';
}

function answerOf(response: IncomingMessage): Pick<EndpointAnswer, 'status' | 'statusText' | 'rawHeaders' | 'header' | 'body'> {
	return {
		status: response.statusCode ?? 0,
		statusText: response.statusMessage ?? '',
		rawHeaders: response.rawHeaders,
		header(name) {
			const value = response.headers[name];
			return Array.isArray(value) ? value[0] : value;
		},
		body: response,
	};
}
