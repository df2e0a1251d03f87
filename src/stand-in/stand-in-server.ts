/**
 * What all stand-ins share: an HTTP server on a free port, and a control path by which a test makes the stand-in fail.
 * `POST /control` merges its JSON body into the faults; `GET /control` gives the faults and the stand-in's own counts.
 */
import {once} from 'node:events';
import {
	createServer, type Server, type IncomingMessage, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {type H3, readBody, toNodeHandler} from 'h3';
import {type JsonValue} from '../shared/types.js';

/** The faults that every stand-in knows. Those of one kind of stand-in stand beside it. */
export type Faults = {
	/** Refuses every request with 503 before it has any effect. */
	down: boolean;
	/** Waits this long before it does anything. */
	slowMilliseconds: number;
	/** How many coming writes take effect and then lose their answer: the connection is cut. */
	loseAnswers: number;
} & Record<string, JsonValue>;

export const noFaults: Faults = {down: false, slowMilliseconds: 0, loseAnswers: 0};

/** One running stand-in. */
export type StandIn = {
	address: string;
	server: Server;
	close(): Promise<void>;
};

/** Where a stand-in listens; port 0 takes a free one. */
export type ListenAt = {
	host: string;
	port: number;
};

/** What a kind of stand-in brings: its routes, its faults, and counts for `GET /control`. */
export type StandInKind = {
	app: H3;
	faults: Faults;
	counts(): Record<string, JsonValue>;
};

/**
 * Starts a stand-in.
 *
 * @param kind - Its routes and faults; the faults object is changed in place by the control path.
 * @param at - Where to listen.
 * @returns The running stand-in with its `IP:port`.
 */
export async function startStandIn(kind: StandInKind, at: ListenAt): Promise<StandIn> {
	kind.app.get('/control', () => ({faults: kind.faults, counts: kind.counts()}));
	kind.app.post('/control', async event => {
		Object.assign(kind.faults, await readBody(event));
		return {faults: kind.faults};
	});
	const handle = toNodeHandler(kind.app);
	const server = createServer((request, response) => {
		void handleWithFaults({request, response}, kind.faults, handle);
	});
	server.listen(at.port, at.host);
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	return {
		address: `${at.host}:${port}`,
		server,
		async close() {
			server.closeAllConnections();
			server.close();
			await once(server, 'close');
		},
	};
}

type Exchange = {request: IncomingMessage; response: ServerResponse};

async function handleWithFaults({request, response}: Exchange, faults: Faults, handle: (request: IncomingMessage, response: ServerResponse) => unknown): Promise<void> {
	if (request.url === '/control') {
		await handle(request, response);
		return;
	}

	if (faults.slowMilliseconds > 0) {
		await delay(faults.slowMilliseconds);
	}

	if (faults.down) {
		response.writeHead(503).end();
		return;
	}

	const isWrite = request.method !== 'GET';
	if (isWrite && faults.loseAnswers > 0) {
		faults.loseAnswers--;
		// The work is done as usual, but what it answers goes nowhere: the socket is cut at the first byte.
		response.writeHead = () => {
			request.socket.destroy();
			return response;
		};
	}

	await handle(request, response);
}
