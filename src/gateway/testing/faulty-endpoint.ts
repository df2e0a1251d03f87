/** A gateway before two endpoints, of which the first one that is asked answers with bytes that a test gives. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {type AddressInfo, createServer, type Socket} from 'node:net';
import process from 'node:process';
import {type TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {systemMomentClock} from '../../adapters/system-moment-clock.js';
import {type RouteKind} from '../../shared/routed-configuration.js';
import {
	openSocket, rawRequest, readToEnd, statusOf,
} from '../../test/raw-http.js';
import {ownWireNames as names} from '../data-path/wire-names.js';
import {connectEndpoint} from '../endpoints/connect-endpoint.js';
import {RelayServer} from '../relay/relay-server.js';
import {testConfiguration, testRoute} from './test-configuration.js';
import {answerSealed, TestGateway, testRelayKey} from './test-gateway.js';

/** The bytes of an answer, as Latin-1. `attemptId` stands for the id of the request. */
export type FaultyAnswer = {
	pieces: readonly string[];
	/** How the connection ends after them; without it, it stays open. */
	ending?: 'closed' | 'reset';
	/** Whether the answer begins before the request was read. */
	isEarly?: boolean;
	/** For how long nothing is read before the end. */
	endMilliseconds?: number;
};

export type FaultyRequest = {
	kind: RouteKind;
	/** Whether another instance connects to the endpoints. */
	isRelayed?: boolean;
	/** Whether a request was answered on the connection before. */
	isKept?: boolean;
	bodyBytes?: number;
	headers?: Record<string, string>;
};

/** What the sound endpoint answers with. */
export const soundBody = 'sound';
export const attemptId = 'a1';
const lastChunk = '\r\n0\r\n\r\n';
const pieceMilliseconds = 3;
const deadlineMilliseconds = 2000;
const firstRelayPort = 7000;
let relays = 0;
const proof = `${names.attemptId}: ${attemptId}\r\n${names.seal}: s\r\n`;

/** A head that proves that its answer belongs to the request; it has no length. */
export function sealedHead(fields: string, statusLine = 'HTTP/1.1 200 OK'): string {
	return `${statusLine}\r\n${proof}${fields}\r\n`;
}

/** The answer that a caller gets, and whether its end is marked. */
export async function answerBesideFaulty(context: TestContext, answer: FaultyAnswer, {kind, isRelayed = false, isKept = false, bodyBytes = 1, headers = {}}: FaultyRequest): Promise<{status: number; text: string; isComplete: boolean}> {
	const limits = {...testConfiguration().limits, bodyBytes: 8_000_000};
	const gateway = await new TestGateway(testConfiguration({routes: [testRoute({kind, timeoutMilliseconds: deadlineMilliseconds})], limits})).start();
	const faulty = new FaultyEndpoint(answer, isKept);
	const {address, sockets, close} = await faulty.listen();
	const realAddresses = new Map<string, string>();
	const faultyRecord = await gateway.addEndpoint(answerSealed, {name: 'faulty', slots: 60});
	const soundRecord = await gateway.addEndpoint((request, response) => {
		answerSealed(request, response, {body: soundBody});
	}, {name: 'sound', slots: 1});
	for (const [index, record] of [{...faultyRecord, address}, soundRecord].entries()) {
		const listed = isRelayed ? {...record, address: `127.0.0.1:${index + 1}`} : record;
		realAddresses.set(listed.address, record.address);
		gateway.context.endpoints.put(listed, 0);
	}

	if (isRelayed) {
		await startRelay(context, gateway, realAddresses);
	}

	context.after(async () => {
		close();
		await gateway.close();
	});
	if (isKept) {
		await send(gateway.address, rawRequest({
			method: 'POST', path: '/', headers: {...requestHeaders('first'), connection: 'close'}, body: 'x',
		}));
	}

	const text = await send(gateway.address, rawRequest({
		method: 'POST', path: '/', headers: {...requestHeaders(attemptId), ...headers, connection: 'close'}, body: 'x'.repeat(bodyBytes),
	}));
	if (sockets.size === 0) {
		throw new Error('no request reached the faulty endpoint');
	}

	return {status: statusOf(text), text, isComplete: text.endsWith(lastChunk) || text.endsWith(soundBody)};
}

function requestHeaders(id: string): Record<string, string> {
	return {host: 'quay.example', [names.attemptId]: id, [names.deadline]: String(deadlineMilliseconds)};
}

async function send(address: string, bytes: string): Promise<string> {
	const socket = await openSocket(address);
	const received = readToEnd(socket);
	socket.write(bytes);
	return received;
}

async function startRelay(context: TestContext, gateway: TestGateway, realAddresses: ReadonlyMap<string, string>): Promise<void> {
	// No other process uses the address, whose port need not be free everywhere.
	relays++;
	const address = `127.148.${Math.floor(process.pid / 256) % 256}.${process.pid % 256}:${firstRelayPort + relays}`;
	const relay = new RelayServer({
		address,
		endpoints: () => gateway.context.endpoints.all(),
		key: () => testRelayKey,
		lagMilliseconds: () => 0,
		hasDirectPath: () => true,
		onOutcome: ignore,
		onUnreachable: ignore,
		connect: async listed => connectEndpoint(realAddresses.get(listed) ?? listed),
	});
	const stop = new AbortController();
	const running = relay.run(stop.signal);
	gateway.relayDirectory.update([{
		address, dataCentre: 'split', unreachable: 0, connections: 0,
	}], systemMomentClock.moment().steady);
	context.after(async () => {
		stop.abort();
		await running;
	});
}

class FaultyEndpoint {
	readonly #answer: FaultyAnswer;
	#soundAnswers: number;

	constructor(answer: FaultyAnswer, isKept: boolean) {
		this.#answer = answer;
		this.#soundAnswers = isKept ? 1 : 0;
	}

	async listen(): Promise<{address: string; sockets: ReadonlySet<Socket>; close: () => void}> {
		const sockets = new Set<Socket>();
		const server = createServer({noDelay: true}, socket => {
			socket.on('error', ignore);
			this.#serve(socket, () => {
				sockets.add(socket);
			});
		}).listen(0, '127.0.0.1');
		await once(server, 'listening');
		return {
			address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
			sockets,
			close() {
				server.close();
				for (const socket of sockets) {
					socket.destroy();
				}
			},
		};
	}

	#serve(socket: Socket, noteFaulty: () => void): void {
		let request = '';
		const read = (bytes: Buffer): void => {
			request += bytes.toString('latin1');
			const length = /content-length: (?<length>\d+)/iv.exec(request)?.groups?.length;
			const headEnd = request.indexOf('\r\n\r\n');
			if (headEnd === -1 || (!this.#answer.isEarly && request.length < headEnd + 4 + Number(length ?? 0))) {
				return;
			}

			request = '';
			if (this.#soundAnswers > 0) {
				this.#soundAnswers--;
				socket.write(`HTTP/1.1 200 OK\r\n${names.attemptId}: first\r\n${names.seal}: s\r\ncontent-length: 2\r\n\r\nok`);
				return;
			}

			socket.off('data', read);
			noteFaulty();
			void this.#write(socket);
		};

		socket.on('data', read);
	}

	async #write(socket: Socket): Promise<void> {
		const {pieces, ending, isEarly = false, endMilliseconds = 0} = this.#answer;
		if (isEarly) {
			socket.pause();
		}

		for (const piece of pieces) {
			socket.write(Buffer.from(piece, 'latin1'));
			await delay(pieceMilliseconds);
		}

		await delay(endMilliseconds);
		if (ending === 'closed') {
			socket.end();
			socket.resume();
		} else if (ending === 'reset') {
			socket.resetAndDestroy();
		}
	}
}

function ignore(): void {
	// A test judges what the caller gets.
}
