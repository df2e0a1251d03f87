/**
 * Serves an h3 application, or a plain handler where requests must be forwarded raw, on one address. Limits keep slow or
 * broken clients from occupying it. A drain always ends: answers are finished, idle connections are closed, and requests that
 * have partly arrived keep their usual timeouts.
 */
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo, Server as NetServer, type Socket} from 'node:net';
import {type Duplex} from 'node:stream';
import {type H3, toNodeHandler} from 'h3';
import {hasFieldNames} from '../shared/has-field-names.js';
import {type Child} from '../supervisor/supervisor.js';
import {connectionRefusalBytes, classifyConnectionError} from './connection-refusal.js';
import {abortAnswer} from './abort-answer.js';
import {CallerConnections, defaultMaxConnections} from './caller-connections.js';
import {closeIfBodyOutstanding} from './close-if-body-outstanding.js';
import {closeIfIdle} from './close-if-idle.js';
import {noteClose, noteClosed} from './connection-close.js';
import {HalfClosedCaller} from './half-closed-caller.js';
import {sendRefusal} from './send-refusal.js';

/** Limits for a client until its request has arrived. */
export type ListenerBounds = {
	headersTimeoutMilliseconds: number;
	/** For the whole request, including its body. */
	requestTimeoutMilliseconds: number;
	/** How often the two timeouts are checked. */
	checkMilliseconds: number;
	maxHeaderBytes: number;
	/** What its connections may use; by default a few hundred of them are accepted. */
	connections?: CallerConnections;
};

export const defaultListenerBounds: ListenerBounds = {
	headersTimeoutMilliseconds: 10_000,
	requestTimeoutMilliseconds: 60_000,
	checkMilliseconds: 1000,
	maxHeaderBytes: 32_768,
};

/** Handles a request from `node:http`. */
export type NodeHandler = (request: IncomingMessage, response: ServerResponse) => unknown;

export class HttpListener implements Child {
	readonly name: string;
	readonly #server: Server;
	readonly #address: {host: string; port: number};
	readonly #handle: NodeHandler;
	/** The open connections, each with its unfinished answers. */
	readonly #connections = new Map<Duplex, Set<ServerResponse>>();
	/** How many bytes a connection had read when its last answer was complete; more are the begin of another request. */
	readonly #answeredBytes = new WeakMap<Duplex, number>();
	/** Connections whose bytes are no longer taken for requests. */
	readonly #refused = new WeakSet<Duplex>();
	readonly #limits: CallerConnections;
	#draining = false;
	#closesConnections = false;

	/**
	 * @param name - Name of the listener for the supervisor.
	 * @param app - What to serve. An h3 application normalises the request target; a plain handler gets it raw.
	 * @param address - `IP:port`; port 0 selects a free one.
	 * @param bounds - Limits for a client until its request has arrived.
	 */
	constructor(name: string, app: H3 | NodeHandler, address: string, bounds = defaultListenerBounds) {
		this.name = name;
		this.#limits = bounds.connections ?? new CallerConnections(defaultMaxConnections, () => performance.now());
		const separator = address.lastIndexOf(':');
		this.#address = {host: address.slice(0, separator), port: Number(address.slice(separator + 1))};
		this.#handle = typeof app === 'function' ? app : toNodeHandler(app);
		this.#server = createServer({
			headersTimeout: bounds.headersTimeoutMilliseconds,
			requestTimeout: bounds.requestTimeoutMilliseconds,
			connectionsCheckingInterval: bounds.checkMilliseconds,
			maxHeaderSize: bounds.maxHeaderBytes,
			noDelay: true,
		});
		// By default Node silently drops headers after the 2,000th; a dropped Idempotency-Key would let a booking run twice.
		// The limit on the bytes of all headers is enough.
		this.#server.maxHeadersCount = 0;
		// By default Node closes a connection as soon as its caller closes the sending side, and the answer is lost.
		(this.#server as Server & {httpAllowHalfOpen: boolean}).httpAllowHalfOpen = true;
		this.#listenToServer();
	}

	/** Starts to listen. Resolves with `IP:port`. */
	async listen(): Promise<string> {
		this.#server.listen(this.#address.port, this.#address.host);
		await once(this.#server, 'listening');
		const {port} = this.#server.address() as AddressInfo;
		return `${this.#address.host}:${port}`;
	}

	/**
	 * Changes the timeouts for later requests.
	 *
	 * @param limits - How long a client may take for its headers, and how long its connection may stay idle.
	 */
	applyLimits(limits: {headersTimeoutMilliseconds: number; idleTimeoutMilliseconds: number}): void {
		this.#server.headersTimeout = limits.headersTimeoutMilliseconds;
		this.#server.keepAliveTimeout = limits.idleTimeoutMilliseconds;
	}

	/** Makes each later answer ask its client to close the connection; new connections are still accepted. */
	announceClose(): void {
		this.#closesConnections = true;
	}

	async run(signal: AbortSignal): Promise<void> {
		if (!this.#server.listening) {
			await this.listen();
		}

		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			signal.addEventListener('abort', () => {
				resolve();
			}, {once: true});
		});
	}

	/** Stops accepting connections and requests. Resolves when the last answer was written and all connections are closed. */
	async drain(): Promise<void> {
		this.#draining = true;
		const closed = once(this.#server, 'close');
		// `http.Server.close` also stops the check of the timeouts, so that one client with half a request would block the
		// drain forever. The method of `net.Server` stops listening and leaves the check running.
		NetServer.prototype.close.call(this.#server);
		void this.#closeIdleConnections();
		for (const [connection, responses] of this.#connections) {
			this.#announceClose(connection as Socket, responses);
		}

		await closed;
		this.#server.close();
	}

	/**
	 * Closes idle connections. Node takes one for idle whose answer was ended but not sent yet, so those are waited for, after all
	 * others that are idle for certain have been closed: otherwise a caller that reads slowly would let requests arrive on them.
	 */
	async #closeIdleConnections(): Promise<void> {
		for (const [connection, responses] of this.#connections) {
			if (responses.size === 0 && this.#answeredBytes.get(connection) === (connection as Socket).bytesRead) {
				noteClose(connection, 'drain');
				connection.destroy();
			}
		}

		for (let unsent = this.#unsentAnswers(); unsent.length > 0; unsent = this.#unsentAnswers()) {
			await Promise.all(unsent.map(async response => new Promise(resolve => {
				response.once('close', resolve);
			})));
		}

		const open = [...this.#connections.keys()].filter(({destroyed}) => !destroyed);
		this.#server.closeIdleConnections();
		for (const connection of open.filter(({destroyed}) => destroyed)) {
			noteClosed(connection, 'drain');
		}
	}

	#unsentAnswers(): ServerResponse[] {
		return [...this.#connections.values()]
			.flatMap(responses => [...responses])
			.filter(({writableEnded, socket}) => writableEnded && socket !== null);
	}

	#listenToServer(): void {
		this.#server.on('connection', (socket: Socket) => {
			if (!this.#limits.accept(socket)) {
				return;
			}

			const pending = new Set<ServerResponse>();
			this.#connections.set(socket, pending);
			socket.once('close', () => {
				this.#connections.delete(socket);
				closeQueuedAnswers(pending);
			});
			socket.once('end', () => {
				HalfClosedCaller.watch(socket, pending);
			});
		});
		// Without this listener Node closes the connection itself.
		this.#server.on('timeout', (socket: Socket) => {
			void closeIfIdle(socket);
		});
		this.#server.on('request', (request, response) => {
			this.#serve(request, response);
		});
		this.#server.on('checkContinue', (request, response) => {
			// "100 Continue" is sent only when the handler reads the body, so that a refusal precedes the body.
			request.once('resume', () => {
				if (!response.headersSent) {
					response.writeContinue();
				}
			});
			this.#serve(request, response);
		});
		this.#server.on('checkExpectation', (_request, response) => {
			sendRefusal(response, {reason: 'bad-request', ran: 'not-run', message: 'the only supported expectation is 100-continue'});
		});
		this.#server.on('connect', (_request, socket) => {
			this.#refuseConnection(socket, 'HPE_INVALID_METHOD');
		});
		this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
			this.#refuseConnection(socket, error.code);
		});
	}

	#serve(request: IncomingMessage, response: ServerResponse): void {
		const {socket} = request;
		if (this.#refused.has(socket)) {
			return;
		}

		if (!hasFieldNames(request.rawHeaders)) {
			// What follows may be the body of this request, whose length has a name that Node does not know.
			this.#refused.add(socket);
			this.#refuseConnection(socket, 'HPE_INVALID_HEADER_TOKEN');
			return;
		}

		if (socket.writableEnded) {
			// It crossed the end of its connection. Without a way to answer it must not run; its caller may send it elsewhere.
			request.resume();
			socket.setTimeout(this.#server.keepAliveTimeout);
			return;
		}

		const responses = this.#connections.get(socket);
		if ([...responses ?? []].some(earlier => earlier.getHeader('connection') === 'close')) {
			// HTTP promises the caller that nothing behind such an answer is handled; the connection ends after it.
			return;
		}

		responses?.add(response);
		response.once('close', () => {
			this.#connections.get(socket)?.delete(response);
			this.#answeredBytes.set(socket, socket.bytesRead);
			if (this.#draining && this.#unanswered(socket) === 0) {
				noteClose(socket, 'drain');
				socket.end();
			}
		});
		response.once('finish', () => {
			// Node has ended the connection before if this was its last answer.
			if (socket.writableEnded) {
				noteClose(socket, 'last-answer');
			}

			closeIfBodyOutstanding(request);
		});
		if (this.#draining || this.#closesConnections) {
			response.setHeader('connection', 'close');
		}

		if (!this.#limits.admit(request, response)) {
			return;
		}

		void this.#answer(request, response);
	}

	async #answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
		try {
			await this.#handle(request, response);
		} catch {
			// An exception in one request must not end the process and all other answers.
			if (response.headersSent) {
				abortAnswer(response);
			} else {
				sendRefusal(response, {reason: 'internal', ran: 'unknown', message: 'the request could not be served'});
			}
		}
	}

	/**
	 * Answers bytes that are not a valid request. They may follow a valid request whose answer is still pending. Written at
	 * once, the refusal would replace that answer or land within it; so the connection is closed after the answer instead.
	 */
	#refuseConnection(connection: Duplex, code: string | undefined): void {
		const refusal = classifyConnectionError(code);
		if (refusal === undefined || !connection.writable) {
			connection.destroy();
			return;
		}

		const reason = code === 'ERR_HTTP_REQUEST_TIMEOUT' ? 'request-timeout' : 'invalid-bytes';

		const pendingAnswer = [...this.#connections.get(connection) ?? []].findLast(response => response.headersSent || response.req.complete);
		if (pendingAnswer === undefined) {
			noteClose(connection, reason);
			connection.end(connectionRefusalBytes(refusal), () => {
				connection.destroy();
			});
			return;
		}

		pendingAnswer.once('close', () => {
			noteClose(connection, reason);
			connection.end();
		});
	}

	/** Requests of a connection that were read and whose answers are not complete. */
	#unanswered(connection: Duplex): number {
		return this.#connections.get(connection)?.size ?? 0;
	}

	#announceClose(connection: Socket, responses: ReadonlySet<ServerResponse>): void {
		// The answers before the last one of a connection must not close it: the other requests have been read as well.
		const last = [...responses].at(-1);
		if (last?.headersSent === false) {
			last.setHeader('connection', 'close');
		}

		if (responses.size === 0 && connection.bytesRead === 0) {
			noteClose(connection, 'drain');
			connection.destroy();
		}
	}
}

/** Closes the answers that waited for an earlier one on their connection; Node closes only the one that was being sent. */
function closeQueuedAnswers(pending: ReadonlySet<ServerResponse>): void {
	for (const response of pending) {
		if (response.socket === null) {
			response.destroy();
			response.emit('close');
		}
	}
}
