/**
 * The HTTP server that all stand-ins share, with a control path by which tests inject faults. `POST /control` merges its
 * JSON body into the faults; `GET /control` returns the faults and the stand-in's counters.
 */
import {once} from 'node:events';
import {
	createServer, type Server, type IncomingMessage, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {type H3, readBody, toNodeHandler} from 'h3';
import {type JsonValue} from '../shared/types.js';

/** The faults that every stand-in supports. Each kind of stand-in adds its own. */
export type Faults = {
	/** Answers every request with 503 before it has any effect. */
	down: boolean;
	/** Delay before each request is handled. */
	slowMilliseconds: number;
	/** The number of following writes that take effect but whose connection is cut before the answer. */
	loseAnswers: number;
} & Record<string, JsonValue>;

export const noFaults: Faults = {down: false, slowMilliseconds: 0, loseAnswers: 0};

/** One running stand-in. */
export type StandIn = {
	address: string;
	server: Server;
	close(): Promise<void>;
};

/** Where a stand-in listens; port 0 selects a free one. */
export type ListenAddress = {
	host: string;
	port: number;
};

/** The routes and faults of one kind of stand-in, and its counters for `GET /control`. */
export type StandInDefinition = {
	app: H3;
	faults: Faults;
	counts(): Record<string, JsonValue>;
};

/**
 * Starts a stand-in.
 *
 * @param definition - Its routes and faults; the control path changes the faults object in place.
 * @param at - Where to listen.
 * @returns The running stand-in with its `IP:port`.
 */
export async function startStandIn(definition: StandInDefinition, at: ListenAddress): Promise<StandIn> {
	definition.app.get('/control', () => ({faults: definition.faults, counts: definition.counts()}));
	definition.app.post('/control', async event => {
		Object.assign(definition.faults, await readBody(event));
		return {faults: definition.faults};
	});
	const handle = toNodeHandler(definition.app);
	const server = createServer((request, response) => {
		void handleWithFaults({request, response}, definition.faults, handle);
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
		// The write is done as usual, but the socket is destroyed before the first byte of the answer.
		response.writeHead = () => {
			request.socket.destroy();
			return response;
		};
	}

	await handle(request, response);
}
