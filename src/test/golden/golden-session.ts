/**
 * Runs one session of callers and operators against an entry with in-memory ports, a manual clock and numbered request
 * ids, and records the bytes of all requests and answers. Only the `Date` header, which Node takes from the machine's
 * clock, is replaced. A carriage return is shown as ␍.
 */
import {type Socket} from 'node:net';
import {
	openSocket, rawRequest, type RawRequest, readToEnd,
} from '../raw-http.js';
import {TestEntry, testKey, testOperatorKey} from '../test-entry.js';

/** A sent request whose answer may be incomplete. */
export type OpenExchange = {
	name: string;
	socket: Socket;
	answer: Promise<string>;
};

export class GoldenSession {
	readonly entry = new TestEntry();
	#text = '';

	/** Starts the entry. */
	async start(title: string): Promise<void> {
		this.#text = `${title}\n${'='.repeat(title.length)}\n`;
		await this.entry.startWithTable();
	}

	/** Stops the entry and returns the recorded text. */
	async end(): Promise<string> {
		await Promise.all([this.entry.callers.drain(), this.entry.operators.drain()]);
		return this.#text;
	}

	/** Adds a comment for the reader to the recorded text. */
	comment(text: string): void {
		this.#text += `\n# ${text}\n`;
	}

	/** Sends a caller's request and reads the complete answer. */
	async sendAsCaller(name: string, request: RawRequest): Promise<string> {
		return this.finish(await this.open(name, request));
	}

	/** Sends an operator's request and reads the complete answer. */
	async sendAsOperator(name: string, request: RawRequest): Promise<string> {
		const bytes = rawRequest({...request, headers: {authorization: `Bearer ${testOperatorKey}`, connection: 'close', ...request.headers}});
		return this.finish(await this.#send(name, this.entry.operatorsAddress, bytes));
	}

	/** Sends a caller's request without waiting for the answer. */
	async open(name: string, request: RawRequest): Promise<OpenExchange> {
		return this.#send(name, this.entry.callersAddress, rawRequest({...request, headers: {connection: 'close', ...request.headers}}));
	}

	/** Sends bytes that need not be a valid request, and reads the complete answer. */
	async sendBytes(name: string, bytes: string): Promise<string> {
		return this.finish(await this.#send(name, this.entry.callersAddress, bytes));
	}

	/** Reads an answer to its end and records it. */
	async finish({name, answer}: OpenExchange): Promise<string> {
		const text = await answer;
		this.#write(name, '<', text.replace(/^Date: .*(?=\r$)/mv, 'Date: (now)'));
		return text;
	}

	async #send(name: string, address: string, bytes: string): Promise<OpenExchange> {
		this.#write(name, '>', bytes);
		const socket = await openSocket(address);
		const answer = readToEnd(socket);
		socket.write(bytes);
		return {name, socket, answer};
	}

	#write(name: string, direction: '>' | '<', bytes: string): void {
		const lines = bytes.replaceAll('\r', '␍').replace(/\n$/v, '').split('\n');
		this.#text += `\n${lines.map(line => `${name} ${direction}${line === '' ? '' : ` ${line}`}`).join('\n')}\n`;
	}
}

const authorization = `Bearer ${testKey}`;

/** Creates a chat prompt of the workspace `quay`. */
export function prompt(content: string, further: Record<string, unknown> = {}): RawRequest {
	return {
		method: 'POST', path: '/v1/chat/completions', headers: {authorization}, body: JSON.stringify({
			model: 'permit-1', messages: [{role: 'user', content}], max_tokens: 4, ...further,
		}),
	};
}

/** Creates a booking of the workspace `quay` with an idempotency key. */
export function booking(name: string, key: string): RawRequest {
	return {
		method: 'POST', path: '/services/bookings/bookings', headers: {authorization, 'idempotency-key': key}, body: JSON.stringify({booking: name}),
	};
}

/** Creates a GET request of the workspace `quay`. */
export function get(path: string): RawRequest {
	return {method: 'GET', path, headers: {authorization}};
}
