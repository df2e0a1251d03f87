/**
 * Plays one session of callers and operators against an entry over ports in memory, under a clock that stands still and
 * with counted request ids, and writes down what is sent and got, byte for byte. Only the `Date` header, which Node
 * takes from the machine's clock, is replaced; a carriage return is shown as ␍.
 */
import {type Socket} from 'node:net';
import {
	openSocket, rawRequest, type RawRequest, readToEnd,
} from '../raw-http.js';
import {TestEntry, testKey, testOperatorKey} from '../test-entry.js';

/** An exchange whose answer has not ended. */
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

	/** Ends the entry; gives the whole text. */
	async end(): Promise<string> {
		await Promise.all([this.entry.callers.drain(), this.entry.operators.drain()]);
		return this.#text;
	}

	/** Writes down what happens. */
	tell(text: string): void {
		this.#text += `\n# ${text}\n`;
	}

	/** A caller sends a request and reads the whole answer. */
	async call(name: string, request: RawRequest): Promise<string> {
		return this.finish(await this.open(name, request));
	}

	/** An operator sends a request and reads the whole answer. */
	async operate(name: string, request: RawRequest): Promise<string> {
		const bytes = rawRequest({...request, headers: {authorization: `Bearer ${testOperatorKey}`, connection: 'close', ...request.headers}});
		return this.finish(await this.#send(name, this.entry.operatorsAddress, bytes));
	}

	/** A caller sends a request and does not wait for the answer. */
	async open(name: string, request: RawRequest): Promise<OpenExchange> {
		return this.#send(name, this.entry.callersAddress, rawRequest({...request, headers: {connection: 'close', ...request.headers}}));
	}

	/** Bytes that are no well-formed request. */
	async sendBytes(name: string, bytes: string): Promise<string> {
		return this.finish(await this.#send(name, this.entry.callersAddress, bytes));
	}

	/** Reads an answer to its end and writes it down. */
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

/** A chat prompt of the workspace `quay`. */
export function prompt(content: string, further: Record<string, unknown> = {}): RawRequest {
	return {
		method: 'POST', path: '/v1/chat/completions', headers: {authorization}, body: JSON.stringify({
			model: 'permit-1', messages: [{role: 'user', content}], max_tokens: 4, ...further,
		}),
	};
}

/** A booking of the workspace `quay` under a key. */
export function booking(name: string, key: string): RawRequest {
	return {
		method: 'POST', path: '/services/bookings/bookings', headers: {authorization, 'idempotency-key': key}, body: JSON.stringify({booking: name}),
	};
}

/** Any other request of the workspace `quay`. */
export function ask(path: string): RawRequest {
	return {method: 'GET', path, headers: {authorization}};
}
