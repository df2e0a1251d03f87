/**
 * One request to one endpoint over HTTP/1.1. What leaves and what comes back are the caller's and the endpoint's own
 * bytes: target, headers and body are passed raw.
 */
import {type Buffer} from 'node:buffer';
import {request as sendRequest, type ClientRequest, type IncomingMessage} from 'node:http';
import {type Socket} from 'node:net';
import {type Either, Left, Right} from 'purify-ts/Either';
import {
	framingOf, type AnswerFraming, type ConnectionEnd, type ConnectionUse,
} from './answer-transfer.js';
import {EndpointAgent} from './endpoint-agent.js';
import {isClosedInOrder} from './is-closed-in-order.js';

/** A request to an endpoint. */
export type EndpointCall = {
	/** `IP:port`. */
	address: string;
	method: string;
	target: string;
	/** Names and values by turns. */
	rawHeaders: string[];
	body: Buffer;
	/** An answer must echo this id, or it belongs to another request. */
	attemptId: string;
	/** The name of the header that echoes the id, in lower case. */
	attemptIdHeader: string;
};

/**
 * How a call failed before an answer.
 *
 * - `not-sent`: no connection came about, so no byte can have left.
 * - `unknown`: the request was sent; it may have run.
 */
export type ExchangeFailure = {
	kind: 'not-sent' | 'unknown';
	connection: ConnectionUse;
	detail: string;
};

/** An answer whose head has arrived. */
export type EndpointAnswer = {
	status: number;
	statusText: string;
	/** Names and values by turns. */
	rawHeaders: string[];
	body: IncomingMessage;
	framing: AnswerFraming;
	connection: ConnectionUse;
	header(name: string): string | undefined;
	/** What became of the connection so far; a body that ends with a connection that failed is not whole. */
	connectionEnd(): ConnectionEnd;
	/**
	 * Drains a body that nobody waits for, so that the connection can be reused.
	 *
	 * @param withinMilliseconds - Time for the rest to arrive before the connection is closed; by default that of a short page.
	 */
	discard(withinMilliseconds?: number): void;
};

/** A call under way. */
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
 * How long a connection may take to come about. A round trip within a region takes a few milliseconds; an endpoint that is
 * gone without a trace answers never. A quarter of a second leaves time for a try elsewhere within the shortest usual
 * objective, and is less than the second after which a lost opening packet is sent again.
 */
const connectMilliseconds = 250;

/**
 * Time allowed to drain an unconsumed response body before its connection is closed. Without it, an endpoint that stalls in
 * the body would leak the connection.
 */
const discardMilliseconds = 500;
/** A longer body costs more to read than a new connection. */
const discardBytes = 131_072;

type ConnectionNotes = {
	noteEnd(end: ConnectionEnd): void;
	connectionEnd(): ConnectionEnd;
};

export class HttpEndpointExchanges implements EndpointExchanges {
	readonly #agent = new EndpointAgent();

	open(call: EndpointCall): OpenExchange {
		const separator = call.address.lastIndexOf(':');
		const outgoing = sendRequest({
			host: call.address.slice(0, separator),
			port: Number(call.address.slice(separator + 1)),
			method: call.method,
			path: call.target,
			headers: call.rawHeaders as unknown as Record<string, string>,
			setHost: false,
			agent: this.#agent,
		});
		let connectionEnd: ConnectionEnd = 'open';
		const noteEnd = (end: ConnectionEnd): void => {
			connectionEnd = connectionEnd === 'open' || connectionEnd === 'in-order' ? end : connectionEnd;
		};

		const answer = this.#awaitAnswer(outgoing, call, {noteEnd, connectionEnd: () => connectionEnd});
		outgoing.end(call.body.length === 0 ? undefined : call.body);
		return {
			answer,
			cancel() {
				if (outgoing.destroyed) {
					return;
				}

				// First: destroying the request throws away what waits of its answer, and reports that as an ordinary end.
				noteEnd('cancelled');
				outgoing.destroy();
			},
		};
	}

	/** Ends all idle connections. */
	close(): void {
		this.#agent.destroy();
	}

	async #awaitAnswer(outgoing: ClientRequest, call: EndpointCall, {noteEnd, connectionEnd}: ConnectionNotes): Promise<Either<ExchangeFailure, EndpointAnswer>> {
		let isConnected = false;
		const failure = (detail: string): Either<ExchangeFailure, never> => Left({kind: isConnected ? 'unknown' : 'not-sent', connection: useOf(outgoing), detail});
		return new Promise(resolve => {
			outgoing.once('socket', socket => {
				const noteSocketEnd = (): void => {
					noteEnd(isClosedInOrder(socket) ? 'in-order' : 'reset');
				};

				// Before Node's own listener, which closes this side.
				socket.prependOnceListener('end', noteSocketEnd);
				outgoing.once('close', () => {
					socket.off('end', noteSocketEnd);
				});
				if (!socket.connecting) {
					isConnected = true;
					return;
				}

				// In a process that stood still the timer is due together with the news of the connection, and timers run first:
				// the news is let through before the verdict, or all endpoints would look out of reach after each standstill.
				const timer = setTimeout(() => {
					setImmediate(() => {
						if (!isConnected) {
							outgoing.destroy(new Error(`no connection within ${connectMilliseconds} ms`));
						}
					});
				}, connectMilliseconds);
				socket.setNoDelay(true);
				socket.once('connect', () => {
					isConnected = true;
					clearTimeout(timer);
				});
				socket.once('close', () => {
					clearTimeout(timer);
				});
			});
			// Node reports the reset of a connection here before it ends a body that has no length, so the mark is set first.
			outgoing.on('error', error => {
				noteEnd('reset');
				resolve(failure(error.message));
			});
			outgoing.once('close', () => {
				resolve(failure('the connection ended without an answer'));
			});
			outgoing.once('response', response => {
				const echoed = response.headers[call.attemptIdHeader];
				if (echoed !== undefined && echoed !== call.attemptId) {
					outgoing.destroy();
					resolve(failure('the answer belongs to another request'));
					return;
				}

				this.#agent.noteKeepAlive(response.socket, response.headers['keep-alive']);
				resolve(Right({
					...answerOf(response),
					framing: framingOf(response, call.method),
					connection: useOf(outgoing),
					connectionEnd,
					discard(withinMilliseconds = discardMilliseconds) {
						discardBody(response, outgoing, withinMilliseconds);
					},
				}));
			});
		});
	}
}

/** Drains a body; closes its connection if the end does not come within the time and the bytes that draining may cost. */
function discardBody(body: IncomingMessage, outgoing: ClientRequest, withinMilliseconds: number): void {
	if (body.destroyed) {
		return;
	}

	const timer = setTimeout(() => {
		outgoing.destroy();
	}, withinMilliseconds);
	let bytes = 0;
	body.on('data', (chunk: Buffer) => {
		bytes += chunk.length;
		if (bytes > discardBytes) {
			outgoing.destroy();
		}
	});
	body.once('close', () => {
		clearTimeout(timer);
	});
	body.resume();
}

function useOf(outgoing: ClientRequest): ConnectionUse {
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
