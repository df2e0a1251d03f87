/**
 * Checks over a real gateway process that endpoints, engines and cache stores which send bytes without an end, in place of an answer or
 * within one, do not fill its memory, and that requests to sound endpoints are served meanwhile.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {createServer, type Server, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {type JsonValue} from '../shared/types.js';
import {DeploymentEndpoint, type Arrival, type EndpointScript} from './deployment-endpoint.js';
import {
	deploymentWireNames as names, endpointTable, GatewayDeployment, host,
} from './gateway-deployment.js';
import {UnreadCaller} from './unread-caller.js';

export type EndlessBytesOptions = {
	/** Second byte of the loopback addresses. */
	network: number;
	/** The memory limit of the process. */
	limitMegabytes: number;
	milliseconds: number;
};

export type EndlessBytesReport = {
	peakMegabytes: number;
	hasEnded: boolean;
	/** Requests to sound endpoints, and how many of them were served. */
	sound: number;
	served: number;
	/** Requests to a service with faulty endpoints. */
	faulty: number;
	/** Connections on which bytes without an end were sent, by what they were to be. */
	floods: Record<string, number>;
};

const soundService = 'sound';
const mixedService = 'mixed';
const faultyEndpoints = 6;
const faultyEngines = 16;
const faultyStores = 7;
const requestMilliseconds = 20;
const deadlineMilliseconds = 3000;
/** Callers that read nothing, so that what arrives for them has to be held or left unread. */
const unreadCallers = 40;
const sampleMilliseconds = 50;
const bytesPerMegabyte = 1_048_576;
const piece = 'f'.repeat(0x40_00);
/** 64 and 4 MB/s a connection: far more than fits into memory, and little enough for the processor of a machine that is busy. */
const callPace = {writesPerPause: 16, pauseMilliseconds: 4};
const answerPace = {writesPerPause: 2, pauseMilliseconds: 8};
const chunk = `${piece.length.toString(16)}\r\n${piece}\r\n`;
const smallChunk = `41\r\n${'f'.repeat(0x41)}\r\n`.repeat(200);
const proofOf = (attemptId: string): string => `${names.attemptId}: ${attemptId}\r\n${names.seal}: s\r\n`;
const events = 'content-type: text/event-stream\r\n';
const chunked = 'transfer-encoding: chunked\r\n';

/** What is sent once, and what is sent again and again. */
const forms: Record<string, (proof: string) => [string, string]> = {
	'no answer': () => ['', piece],
	'status line': () => ['HTTP/1.1 200 ', piece],
	header: proof => [`HTTP/1.1 200 OK\r\n${proof}x-more: `, piece],
	headers: proof => [`HTTP/1.1 200 OK\r\n${proof}`, 'x-more: f\r\n'.repeat(1000)],
	interim: () => ['', 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(500)],
	body: proof => [`HTTP/1.1 200 OK\r\n${proof}${chunked}\r\n`, chunk],
	'body in small chunks': proof => [`HTTP/1.1 200 OK\r\n${proof}${chunked}\r\n`, smallChunk],
	'body with a length': proof => [`HTTP/1.1 200 OK\r\n${proof}content-length: 100000000000\r\n\r\n`, piece],
	'body without a length': proof => [`HTTP/1.1 200 OK\r\n${proof}connection: close\r\n\r\n`, piece],
	event: proof => [`HTTP/1.1 200 OK\r\n${proof}${events}${chunked}\r\n`, chunk],
	'chunk line': proof => [`HTTP/1.1 200 OK\r\n${proof}${chunked}\r\n5;`, piece],
	trailer: proof => [`HTTP/1.1 200 OK\r\n${proof}${chunked}\r\n0\r\nx-more: `, piece],
	failure: proof => [`HTTP/1.1 500 Failed\r\n${proof}${chunked}\r\n`, chunk],
	rejection: proof => [`HTTP/1.1 503 Full\r\n${proof}${names.notExecuted}: 1\r\n${chunked}\r\n`, chunk],
	misdirected: proof => [`HTTP/1.1 421 Misdirected\r\n${proof}${names.notExecuted}: 1\r\n${chunked}\r\n`, chunk],
};

/** The answers to calls for cached blocks and to those for reports. */
const callForms: Record<string, [string, string]> = {
	'call: list': [`HTTP/1.1 200 OK\r\n${chunked}\r\n${chunkOf('{"next":1,"held":[')}`, chunkOf('["s1","5c1e07a2",800,"model"],'.repeat(500))],
	'call: text': [`HTTP/1.1 200 OK\r\n${chunked}\r\n1\r\n"\r\n`, chunk],
	'call: small chunks': [`HTTP/1.1 200 OK\r\n${chunked}\r\n1\r\n"\r\n`, smallChunk],
	'call: header': ['HTTP/1.1 200 OK\r\nx-more: ', piece],
};

export async function runEndlessBytes(options: EndlessBytesOptions): Promise<EndlessBytesReport> {
	const run = new EndlessBytesRun(options);
	try {
		await run.start();
		return await run.play();
	} finally {
		await run.stop();
	}
}

class EndlessBytesRun implements EndpointScript {
	readonly #options: EndlessBytesOptions;
	readonly #deployment: GatewayDeployment;
	readonly #sound: DeploymentEndpoint[];
	readonly #servers: Server[] = [];
	readonly #sockets = new Set<Socket>();
	readonly #callers: UnreadCaller[] = [];
	readonly #floods: Record<string, number> = {};
	#turn = 0;
	#peakBytes = 0;

	constructor(options: EndlessBytesOptions) {
		this.#options = options;
		const route = {
			host, timeout_ms: deadlineMilliseconds, target_latency_ms: 600, gap_aim_ms: 800, max_attempts: 2,
		};
		this.#deployment = new GatewayDeployment({
			network: options.network,
			dataCentres: 1,
			instancesPerDataCentre: 1,
			routes: [
				{
					...route, name: 'sound', prefix: '/sound/', kind: 'idempotent', service: soundService,
				},
				{
					...route, name: 'lookup', prefix: '/lookup/', kind: 'idempotent', service: mixedService,
				},
				{
					...route, name: 'events', prefix: '/events/', kind: 'stream', resumable: true, service: mixedService,
				},
				{
					...route, name: 'booking', prefix: '/booking/', kind: 'non_idempotent', service: mixedService, max_attempts: 1,
				},
			],
			services: [
				{name: soundService},
				{name: mixedService},
				{name: 'engines', engine: {slots: 8, kv_capacity_tokens: 1_000_000, models: [{name: 'model'}]}},
				...Array.from({length: faultyStores}, (_, index) => ({
					name: `store-${index}`, kv_store_addr: this.#addressOf(3, index), zone: 'centre-1', kv_capacity_tokens: 1_000_000, managed: true,
				})),
			],
			environmentOf: () => ({NODE_OPTIONS: '--max-old-space-size=96'}),
			settings: {'limits.memory_mb': options.limitMegabytes, contracts: 'pressure'},
		});
		this.#sound = [soundService, mixedService].map((service, index) => new DeploymentEndpoint(this.#deployment, {
			dataCentre: 'centre-1', address: this.#deployment.endpointAddress(1, index + 1), service, slots: 64,
		}, this));
	}

	async start(): Promise<void> {
		await Promise.all(this.#sound.map(async endpoint => endpoint.start()));
		await Promise.all([
			...Array.from({length: faultyEndpoints}, async (_, index) => this.#listen(1, index, mixedService)),
			...Array.from({length: faultyEngines}, async (_, index) => this.#listen(2, index, 'engines')),
			...Array.from({length: faultyStores}, async (_, index) => this.#listen(3, index)),
		]);
		await this.#deployment.start();
	}

	async play(): Promise<EndlessBytesReport> {
		const instance = this.#deployment.instances[0]!;
		const {child} = instance.process;
		const endsAt = performance.now() + this.#options.milliseconds;
		const sampling = setInterval(() => {
			this.#peakBytes = Math.max(this.#peakBytes, peakBytesOf(child.pid));
		}, sampleMilliseconds);
		const statuses: Array<Promise<number>> = [];
		let faulty = 0;
		while (performance.now() < endsAt && child.exitCode === null && child.signalCode === null) {
			const path = ['/lookup/', '/events/', '/booking/'][faulty % 3]!;
			faulty++;
			statuses.push(this.#send('/sound/'));
			this.#call(instance.address, path).read();
			if (faulty <= unreadCallers) {
				this.#call(instance.address, path);
			}

			await delay(requestMilliseconds);
		}

		const served = await Promise.all(statuses);
		clearInterval(sampling);
		return {
			peakMegabytes: Math.round(this.#peakBytes / bytesPerMegabyte),
			hasEnded: child.exitCode !== null || child.signalCode !== null,
			sound: served.length,
			served: served.filter(status => status === 200).length,
			faulty: this.#callers.length,
			floods: this.#floods,
		};
	}

	async stop(): Promise<void> {
		for (const caller of this.#callers) {
			caller.leave();
		}

		for (const endpoint of this.#sound) {
			endpoint.close();
		}

		for (const server of this.#servers) {
			server.close();
		}

		for (const socket of this.#sockets) {
			socket.destroy();
		}

		await this.#deployment.stop();
	}

	arrived(): void {
		// Only what callers get is counted.
	}

	headers(): Record<string, string> {
		return {};
	}

	async run(endpoint: DeploymentEndpoint, arrival: Arrival, response: Parameters<EndpointScript['run']>[2]): Promise<void> {
		await endpoint.answer(response, arrival, 2);
	}

	#addressOf(group: number, index: number): string {
		return `127.${this.#options.network}.${150 + group}.${index + 1}:8300`;
	}

	async #send(path: string): Promise<number> {
		const {status} = await this.#deployment.send(this.#deployment.instances[0]!, {path, body: '', deadlineMilliseconds});
		return status;
	}

	/** Sends a request whose answer is not kept, and not read at first. */
	#call(address: string, path: string): UnreadCaller {
		const caller = new UnreadCaller(address);
		this.#callers.push(caller);
		caller.send([`POST ${path} HTTP/1.1`, `host: ${host}`, `${names.attemptId}: call-${this.#callers.length}`, `${names.deadline}: ${deadlineMilliseconds}`, 'content-length: 0']);
		return caller;
	}

	/** Listens for a faulty endpoint, which is registered if it has a service. */
	async #listen(group: number, index: number, service?: string): Promise<void> {
		const address = this.#addressOf(group, index);
		const [ip, port] = address.split(':');
		const server = createServer(socket => {
			this.#sockets.add(socket);
			socket.on('error', () => {
				socket.destroy();
			});
			socket.once('close', () => {
				this.#sockets.delete(socket);
			});
			socket.once('data', bytes => {
				this.#flood(socket, bytes.toString('latin1'));
			});
		}).listen(Number(port), ip);
		await once(server, 'listening');
		this.#servers.push(server);
		if (service !== undefined) {
			const row: JsonValue = {
				service, address, zone: 'centre-1', slots: 64, state: 'ready', born: 1000 + index, seq: 1, version: 'v1', cold_left_ms: 0,
				...(service === 'engines' ? {models: [{name: 'model', version: 1}]} : {}),
			};
			this.#deployment.table.write({table: endpointTable, key: `${service}-${index}`}, row);
		}
	}

	#flood(socket: Socket, request: string): void {
		const isCall = /^(?:GET|POST) \/(?:kv-|report|order)/v.test(request);
		const kinds = Object.keys(isCall ? callForms : forms);
		const kind = kinds[this.#turn++ % kinds.length]!;
		const attemptId = new RegExp(String.raw`${names.attemptId}: (\S+)`, 'iv').exec(request)?.[1] ?? '';
		const [first, again] = isCall ? callForms[kind]! : forms[kind]!(proofOf(attemptId));
		this.#floods[kind] = (this.#floods[kind] ?? 0) + 1;
		socket.write(first);
		const {writesPerPause, pauseMilliseconds} = isCall ? callPace : answerPace;
		const bytes = Buffer.from(again.repeat(writesPerPause));
		const timer = setInterval(() => {
			if (!socket.writableNeedDrain) {
				socket.write(bytes);
			}
		}, pauseMilliseconds);
		socket.once('close', () => {
			clearInterval(timer);
		});
	}
}

function chunkOf(text: string): string {
	return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function peakBytesOf(pid: number | undefined): number {
	try {
		return Number(/VmHWM:\s+(?<kilobytes>\d+)/v.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.groups?.kilobytes ?? 0) * 1024;
	} catch {
		return 0;
	}
}
