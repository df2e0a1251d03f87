/** HTTP by hand, for tests that care about every byte. */
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';

/** Opens a connection to `IP:port`. */
export async function openSocket(address: string): Promise<Socket> {
	const separator = address.lastIndexOf(':');
	const socket = connect({host: address.slice(0, separator), port: Number(address.slice(separator + 1)), noDelay: true});
	await once(socket, 'connect');
	// A reset is one of the ends that tests look at; what was read before it counts.
	socket.on('error', () => {
		socket.destroy();
	});
	return socket;
}

/** Collects what comes until the other side ends the connection. */
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

/** Waits until what came satisfies a condition; gives all that came. */
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

/** Sends bytes on a fresh connection and collects the answer until the other side ends it. */
export async function exchangeRaw(address: string, bytes: string | Uint8Array): Promise<string> {
	const socket = await openSocket(address);
	const answer = readToEnd(socket);
	socket.write(bytes);
	return answer;
}

/** One request to write by hand. */
export type RawRequest = {
	method: string;
	path: string;
	headers?: Record<string, string>;
	body?: string;
};

/** Writes a request as bytes, with the length of its body. */
export function rawRequest({method, path, headers = {}, body = ''}: RawRequest): string {
	const all = {host: 'savorygauge', ...headers, ...(body === '' ? {} : {'content-type': 'application/json', 'content-length': String(new TextEncoder().encode(body).length)})};
	const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}`);
	return [`${method} ${path} HTTP/1.1`, ...lines, '', body].join('\r\n');
}

/** The status of an answer, behind interim ones; 0 if there is none. */
export function statusOf(answer: string): number {
	return Number(/^(?:HTTP\/1\.1 100 Continue\r\n\r\n)*HTTP\/1\.1 (?<status>\d{3})/v.exec(answer)?.groups?.status ?? 0);
}

/** The code of the typed error in an answer. */
export function errorCodeOf(answer: string): string {
	return /"code":"(?<code>[a-z\-]+)"/v.exec(answer)?.groups?.code ?? '';
}
