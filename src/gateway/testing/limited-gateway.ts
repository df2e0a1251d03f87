/** A gateway whose memory is limited, and callers that do not read, for tests. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {type MemoryLimits} from '../../decision/memory/memory-limits.js';
import {type RouteKind} from '../../shared/routed-configuration.js';
import {openSocket, rawRequest, readToEnd} from '../../test/raw-http.js';
import {createHeldMemory} from '../data-path/create-held-memory.js';
import {ownWireNames as names} from '../data-path/wire-names.js';
import {testConfiguration, testRoute} from './test-configuration.js';
import {sealedHeaders, TestGateway} from './test-gateway.js';

/** Together more than the sockets between the gateway and a caller that does not read take up. */
const events = 3000;

/** The ids of the events that `sendEvents` sends. */
export const allEventIds: readonly number[] = Array.from({length: events}, (_, index) => index + 1);

/** Starts a gateway with one route to requests of a kind. */
export async function limitedGateway(limits: MemoryLimits, kind: RouteKind): Promise<TestGateway> {
	const gateway = new TestGateway(testConfiguration({routes: [testRoute({kind, timeoutMilliseconds: 20_000})]}));
	gateway.context.memory = createHeldMemory(gateway.context, limits);
	return gateway.start();
}

/** A request whose id is its path. It has no body, so that only answers are counted. */
export function limitedRequest(path: string): string {
	return rawRequest({
		method: 'GET', path, headers: {
			host: 'quay.example', [names.attemptId]: path.slice(1), [names.deadline]: '20000', connection: 'close',
		},
	});
}

/** Sends a request and reads nothing of the answer. */
export async function unreadCaller({address}: TestGateway, path: string): Promise<Socket> {
	const socket = await openSocket(address);
	socket.pause();
	socket.write(limitedRequest(path));
	return socket;
}

/** Lets a caller that did not read do so, and returns its answer. */
export async function readOn(socket: Socket): Promise<string> {
	const answer = readToEnd(socket);
	socket.resume();
	return answer;
}

/**
 * Sends the events after the one that a request names, as fast as they are read.
 *
 * @param onDelayed - Called when the events are not read at once.
 */
export async function sendEvents(incoming: IncomingMessage, response: ServerResponse, onDelayed?: () => void): Promise<void> {
	response.writeHead(200, {...sealedHeaders(incoming), 'content-type': 'text/event-stream'});
	for (let id = Number(incoming.headers[names.lastEventId] ?? 0) + 1; id <= events && !response.destroyed; id++) {
		if (!response.write(`id: ${id}\ndata: ${'x'.repeat(4096)}\n\n`)) {
			const timer = setTimeout(onDelayed ?? (() => undefined), 300);
			await untilDrained(response);
			clearTimeout(timer);
		}
	}

	response.end();
}

/** Resolves when all that was written has been read, or the connection has closed. */
export async function untilDrained(response: ServerResponse): Promise<void> {
	return new Promise(resolve => {
		const finish = (): void => {
			response.off('drain', finish).off('close', finish);
			resolve();
		};

		response.on('drain', finish).on('close', finish);
	});
}

/** The ids of the events in an answer. */
export function eventIdsOf(answer: string): number[] {
	return [...answer.matchAll(/id: (?<id>\d+)\n/gv)].map(({groups}) => Number(groups?.id));
}
