/** Helpers that write and read raw HTTP bytes over TCP, for tests that need exact bytes. */
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';

/** Opens a connection to `IP:port`. */
export async function openSocket(address: string): Promise<Socket> {
	const separator = address.lastIndexOf(':');
	const socket = connect({host: address.slice(0, separator), port: Number(address.slice(separator + 1)), noDelay: true});
	await once(socket, 'connect');
	// Tests also check connections that are reset; the bytes that were read before the reset count.
	socket.on('error', () => {
		socket.destroy();
	});
	return socket;
}

/** Reads until the connection is closed, and returns all received text. */
export async function readToEnd(socket: Socket): Promise<string> {
	let text = '';
	socket.setEncoding('utf8');
	socket.on('data', chunk => {
		text += String(chunk);
	});
	if (!socket.closed) {
		await new Promise(resolve => {
			socket.once('close', resolve);
		});
	}

	return text;
}

/** Reads until the received text satisfies a condition, and returns that text. */
export async function readUntil(socket: Socket, isEnough: (text: string) => boolean): Promise<string> {
	let text = '';
	for (;;) {
		const [chunk] = await once(socket, 'data') as [Uint8Array];
		text += new TextDecoder().decode(chunk);
		if (isEnough(text)) {
			return text;
		}
	}
}

/** Sends bytes on a new connection and reads the answer until the connection is closed. */
export async function exchangeRaw(address: string, bytes: string | Uint8Array): Promise<string> {
	const socket = await openSocket(address);
	const answer = readToEnd(socket);
	socket.write(bytes);
	return answer;
}

/** A request to write as raw bytes. */
export type RawRequest = {
	method: string;
	path: string;
	headers?: Record<string, string>;
	body?: string;
};

/** Formats a request as HTTP/1.1, with the length of its body. */
export function rawRequest({method, path, headers = {}, body = ''}: RawRequest): string {
	const all = {host: 'savorygauge', ...headers, ...(body === '' ? {} : {'content-type': 'application/json', 'content-length': String(new TextEncoder().encode(body).length)})};
	const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}`);
	return [`${method} ${path} HTTP/1.1`, ...lines, '', body].join('\r\n');
}

/** Returns the status of an answer, skipping interim ones; 0 if there is none. */
export function statusOf(answer: string): number {
	return Number(/^(?:HTTP\/1\.1 100 Continue\r\n\r\n)*HTTP\/1\.1 (?<status>\d{3})/v.exec(answer)?.groups?.status ?? 0);
}

/** Returns the code of the typed error in an answer; empty if there is none. */
export function errorCodeOf(answer: string): string {
	return /"code":"(?<code>[a-z\-]+)"/v.exec(answer)?.groups?.code ?? '';
}
