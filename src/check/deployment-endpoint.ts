/** An endpoint of a check: registers itself in the store, answers with events, and can crash, leave and come back. */
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type Socket} from 'node:net';
import {text} from 'node:stream/consumers';
import {setTimeout as delay} from 'node:timers/promises';
import {type JsonValue} from '../shared/types.js';
import {
	blockEventsPath, blockEventsWaitHeader, deploymentWireNames as names, emptyBlockEvents, endpointTable, type GatewayDeployment, heartbeatMilliseconds, instanceHeader,
} from './gateway-deployment.js';

/** A request that reached an endpoint; `at` is in milliseconds of `performance.now()`. */
export type Arrival = {
	at: number;
	endpoint: string;
	/** The instance that the caller sent it to. */
	instance: string;
	target: string;
	body: string;
};

/** What an endpoint does with a request. */
export interface EndpointScript {
	/** Called for each request, also those that are rejected. */
	arrived(arrival: Arrival): void;
	/** Answers the request, or ends the endpoint. */
	run(endpoint: DeploymentEndpoint, arrival: Arrival, response: ServerResponse): Promise<void>;
	/** Headers of every answer. */
	headers(endpoint: DeploymentEndpoint, instance: string): Record<string, string>;
}

/** How an endpoint comes back. */
export type Restart = {
	/** Whether it has the name that it had; otherwise its former row expires. */
	keepsName?: boolean;
	/** For how long it serves before its row is written. */
	rowDelayMilliseconds?: number;
	/** Whether its connections are reset; otherwise answers that end with their connection look complete. */
	resetsConnections?: boolean;
};

/** Rows of endpoints that have stopped writing them expire after so many heartbeats. */
const heartbeatsToExpiry = 3;
export const expiryMilliseconds = heartbeatsToExpiry * heartbeatMilliseconds;
const eventMilliseconds = 15;

/** Where an endpoint is, and what it serves. */
export type EndpointPlace = {
	dataCentre: string;
	address: string;
	service: string;
	slots: number;
	/** The software version of its first incarnation. */
	version?: string;
	/** The model of an engine; it reports that it caches nothing. */
	model?: string;
	/** `IP:port` at which it listens, if another process stands at its address. */
	listensAt?: string;
	/** Whether it never closes idle connections. */
	keepsIdleConnections?: boolean;
	/** The number of connections that it accepts; further ones are reset. */
	connectionLimit?: number;
	/** How long it warms up after each start but the first. */
	warmUpMilliseconds?: number;
};

export class DeploymentEndpoint {
	name = '';
	/** The software version of its next incarnation. */
	nextVersion: string;
	/** Connections that were reset because there were too many. */
	resets = 0;
	readonly dataCentre: string;
	/** `IP:port`. */
	readonly address: string;
	readonly #deployment: GatewayDeployment;
	readonly #service: string;
	readonly #slots: number;
	readonly #model: string | undefined;
	readonly #listensAt: string;
	readonly #keepsIdleConnections: boolean;
	readonly #connectionLimit: number;
	readonly #warmUpMilliseconds: number;
	#warmUntil = 0;
	readonly #script: EndpointScript;
	#server: Server | undefined;
	readonly #sockets = new Set<Socket>();
	#starts = 0;
	#startedAt = 0;
	/** Rows of the present incarnation that were made. */
	#sequence = 0;
	#version = '';
	#isClosed = false;
	#silentUntil = 0;

	constructor(deployment: GatewayDeployment, place: EndpointPlace, script: EndpointScript) {
		this.#deployment = deployment;
		this.dataCentre = place.dataCentre;
		this.address = place.address;
		this.#service = place.service;
		this.#slots = place.slots;
		this.#model = place.model;
		this.#listensAt = place.listensAt ?? place.address;
		this.#keepsIdleConnections = place.keepsIdleConnections ?? false;
		this.#connectionLimit = place.connectionLimit ?? Number.POSITIVE_INFINITY;
		this.#warmUpMilliseconds = place.warmUpMilliseconds ?? 0;
		this.nextVersion = place.version ?? 'v1';
		this.#script = script;
	}

	get isUp(): boolean {
		return this.#server !== undefined;
	}

	/** How much longer it is warming up. */
	get warmUpLeft(): number {
		return Math.max(0, this.#warmUntil - performance.now());
	}

	/** The software version of the present incarnation, or of the last one. */
	get version(): string {
		return this.#version;
	}

	/** Starts a new incarnation, with a new name unless it keeps the one that it had. */
	async start({keepsName, rowDelayMilliseconds}: Restart = {}): Promise<void> {
		if (this.#isClosed) {
			return;
		}

		this.#starts++;
		this.#startedAt = Date.now();
		this.#sequence = 0;
		this.#warmUntil = this.#starts === 1 ? 0 : performance.now() + this.#warmUpMilliseconds;
		this.#version = this.nextVersion;
		this.name = keepsName ? this.name : `${this.#service}-${this.address}-${this.#starts}`;
		const server = createServer((request, response) => {
			void this.#serve(request, response);
		});
		server.on('connection', socket => {
			if (this.#sockets.size >= this.#connectionLimit) {
				this.resets++;
				socket.resetAndDestroy();
				return;
			}

			this.#sockets.add(socket);
			socket.once('close', () => {
				this.#sockets.delete(socket);
			});
		});
		if (this.#keepsIdleConnections) {
			server.keepAliveTimeout = 0;
		}

		const [ip = '', port = ''] = this.#listensAt.split(':');
		server.listen(Number(port), ip);
		await once(server, 'listening');
		this.#server = server;
		await delay(rowDelayMilliseconds ?? 0);
		if (this.#server === server) {
			this.#writeRow('ready');
		}
	}

	/** Ends the process: its listener and all its connections at once. It is back after a time. */
	async crash(restartMilliseconds: number, restart: Restart = {}): Promise<void> {
		if (this.#server === undefined) {
			return;
		}

		const {name} = this;
		this.#end(restart.resetsConnections);
		if (!restart.keepsName) {
			void this.#expireRow(name);
		}

		await delay(restartMilliseconds);
		await this.start(restart);
	}

	/** Leaves as announced: its row says so, and it serves on for a while. */
	async leave(drainMilliseconds: number, restartMilliseconds: number): Promise<void> {
		const {name} = this;
		this.#writeRow('draining');
		await delay(drainMilliseconds);
		if (this.name === name && this.#server !== undefined) {
			this.#end();
			this.#deployment.table.write({table: endpointTable, key: name});
			await delay(restartMilliseconds);
			await this.start();
		}
	}

	/** Resets some of its connections, and serves on. */
	resetConnections(share: number): void {
		const sockets = [...this.#sockets];
		for (const socket of sockets.slice(0, Math.ceil(sockets.length * share))) {
			socket.resetAndDestroy();
		}
	}

	/** Stops to send anything for a time, and goes on; connections are accepted. */
	fallSilent(milliseconds: number): void {
		this.#silentUntil = performance.now() + milliseconds;
	}

	/** Has to warm up again, and writes that into its row. */
	turnCold(): void {
		this.#warmUntil = performance.now() + this.#warmUpMilliseconds;
		this.#writeRow('ready');
	}

	/** Removes its row, or writes it again; it serves on, as one that was late to write. */
	setRegistered(isRegistered: boolean): void {
		if (isRegistered) {
			this.#writeRow('ready');
		} else {
			this.#deployment.table.write({table: endpointTable, key: this.name});
		}
	}

	/** Returns the row of its next heartbeat, which is not written. */
	nextRow(state: 'ready' | 'draining'): Record<string, JsonValue> {
		this.#sequence++;
		return {
			service: this.#service, address: this.address, zone: this.dataCentre, slots: this.#slots, state, born: this.#startedAt, seq: this.#sequence, version: this.#version,
			cold_left_ms: Math.round(this.warmUpLeft),
			...(this.#model === undefined ? {} : {models: [{name: this.#model, version: 1}]}),
		};
	}

	/** Writes its row, or removes it. */
	writeRow(row: JsonValue | undefined): void {
		this.#deployment.table.write({table: endpointTable, key: this.name}, row);
	}

	/** Resolves when it is not silent. */
	async untilAudible(): Promise<void> {
		while (performance.now() < this.#silentUntil) {
			await delay(this.#silentUntil - performance.now());
		}
	}

	/** Answers with events. */
	async answer(response: ServerResponse, arrival: Arrival, events: number): Promise<void> {
		this.begin(response, arrival);
		for (let id = 1; id <= events && !response.destroyed; id++) {
			response.write(`id: ${id}\ndata: piece ${id}\n\n`);
			await delay(eventMilliseconds);
		}

		response.end();
	}

	/** Sends the head of an answer. */
	begin(response: ServerResponse, {instance}: Arrival): void {
		response.writeHead(200, {
			[names.attemptId]: String(response.req.headers[names.attemptId]), [names.seal]: 'seal', 'content-type': 'text/event-stream', ...this.#script.headers(this, instance),
		});
		response.flushHeaders();
	}

	/** Ends it for good. */
	close(): void {
		this.#isClosed = true;
		this.#end();
	}

	async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = await text(request).catch(() => undefined);
		if (body === undefined) {
			return;
		}

		if (this.#model !== undefined && request.url?.startsWith(blockEventsPath)) {
			await delay(Number(request.headers[blockEventsWaitHeader] ?? 0));
			await this.untilAudible();
			response.end(JSON.stringify(emptyBlockEvents));
			return;
		}

		const arrival: Arrival = {
			at: performance.now(), endpoint: this.name, instance: String(request.headers[instanceHeader]), target: request.url ?? '', body,
		};
		this.#script.arrived(arrival);
		await this.untilAudible();
		if (request.headers[names.expectedEndpoint] !== this.name) {
			response.writeHead(421, {[names.notExecuted]: '1', [names.endpointName]: this.name, ...this.#script.headers(this, arrival.instance)});
			response.end();
			return;
		}

		await this.#script.run(this, arrival, response);
	}

	#end(resetsConnections = false): void {
		this.#server?.close();
		this.#server = undefined;
		for (const socket of this.#sockets) {
			if (resetsConnections) {
				socket.resetAndDestroy();
			} else {
				socket.destroy();
			}
		}
	}

	async #expireRow(name: string): Promise<void> {
		await delay(expiryMilliseconds);
		this.#deployment.table.write({table: endpointTable, key: name});
	}

	#writeRow(state: 'ready' | 'draining'): void {
		this.writeRow(this.nextRow(state));
	}
}
