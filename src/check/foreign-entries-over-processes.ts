/**
 * Checks over real gateway processes that entries of other programs in the list of endpoints harm no request: their fields may be
 * missing or of another type, their services are not configured, and their addresses need not be addresses. Endpoints crash
 * meanwhile, so that instances examine which of the listed addresses they reach.
 */
import {once} from 'node:events';
import {createServer, type Server, type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import fc from 'fast-check';
import {hashOf} from '../shared/hash-of.js';
import {type JsonValue} from '../shared/types.js';
import {Choices} from './choices.js';
import {deskDeployment, deskPaths, startDesk} from './desk-deployment.js';
import {type Arrival, type DeploymentEndpoint, type EndpointScript} from './deployment-endpoint.js';
import {endpointTable, type GatewayDeployment} from './gateway-deployment.js';

export type ForeignEntriesOptions = {
	seed: number;
	/** Second byte of the loopback addresses. */
	network: number;
	milliseconds: number;
};

export type ForeignEntriesReport = {
	crashes: number;
	requests: number;
	/** Requests without a status, those of broken connections included. */
	unanswered: number;
	/** Requests that reached a program whose entries name a configured service and lack a field. */
	stray: number;
	/** Instances whose process has ended. */
	ended: string[];
};

const requestMilliseconds = 25;
const crashMilliseconds = 900;
const quietMilliseconds = 1500;
const events = 6;
const entries = 60;
const programPort = 8300;
/** Keys that plain objects inherit. */
const inheritedNames = ['__proto__', 'constructor', 'toString'] as const;

export async function runForeignEntries({seed, network, milliseconds}: ForeignEntriesOptions): Promise<ForeignEntriesReport> {
	const run = new ForeignEntriesRun(seed, network);
	try {
		await run.start();
		return await run.play(milliseconds);
	} finally {
		await run.stop();
	}
}

class ForeignEntriesRun implements EndpointScript {
	readonly #seed: number;
	readonly #choices: Choices;
	readonly #deployment: GatewayDeployment;
	readonly #program: Server;
	#endpoints: DeploymentEndpoint[] = [];
	#crashes = 0;
	#stray = 0;

	constructor(seed: number, network: number) {
		this.#seed = seed;
		this.#choices = Choices.fromSeed(hashOf(`foreign entries ${seed}`));
		this.#deployment = deskDeployment(network);
		this.#program = createServer((request, response) => {
			this.#stray++;
			request.resume();
			response.writeHead(404, {'content-type': 'text/plain'}).end('no such page');
		});
	}

	async start(): Promise<void> {
		this.#endpoints = await startDesk(this.#deployment, this);
		const ip = this.#deployment.addressOf(200, 2);
		this.#program.listen(programPort, ip);
		await once(this.#program, 'listening');
		for (const [index, entry] of incompleteEntries(`${ip}:${programPort}`).entries()) {
			this.#deployment.table.write({table: endpointTable, key: `program-${index}`}, entry);
		}

		for (const [index, entry] of generateEntries(this.#seed, this.#deployment.addressOf(200, 1)).entries()) {
			this.#deployment.table.write({table: endpointTable, key: inheritedNames[index] ?? `agent-${index}`}, entry);
		}
	}

	async play(milliseconds: number): Promise<ForeignEntriesReport> {
		const endsAt = performance.now() + milliseconds;
		const [statuses] = await Promise.all([this.#send(endsAt), this.#crash(endsAt - quietMilliseconds)]);
		return {
			crashes: this.#crashes,
			requests: statuses.length,
			unanswered: statuses.filter(status => status === 0).length,
			stray: this.#stray,
			ended: this.#deployment.instances.filter(({process: {child}}) => child.exitCode !== null || child.signalCode !== null).map(({name}) => name),
		};
	}

	async stop(): Promise<void> {
		for (const endpoint of this.#endpoints) {
			endpoint.close();
		}

		this.#program.closeAllConnections();
		this.#program.close();
		await this.#deployment.stop();
	}

	arrived(): void {
		// Only what callers get is judged.
	}

	headers(): Record<string, string> {
		return {};
	}

	async run(endpoint: DeploymentEndpoint, arrival: Arrival, response: ServerResponse): Promise<void> {
		await delay(this.#choices.between(5, 60));
		await endpoint.answer(response, arrival, events);
	}

	async #send(endsAt: number): Promise<number[]> {
		const sent: Array<Promise<number>> = [];
		while (performance.now() < endsAt) {
			const instance = this.#choices.oneOf(this.#deployment.instances);
			sent.push((async () => {
				const {status} = await this.#deployment.send(instance, {path: this.#choices.oneOf(deskPaths), body: 'x', deadlineMilliseconds: 3000});
				return status;
			})());
			await delay(requestMilliseconds);
		}

		return Promise.all(sent);
	}

	async #crash(endsAt: number): Promise<void> {
		const running: Array<Promise<void>> = [];
		while (performance.now() < endsAt) {
			await delay(crashMilliseconds);
			const endpoint = this.#choices.oneOf(this.#endpoints.filter(({isUp}) => isUp));
			this.#crashes++;
			running.push(endpoint.crash(this.#choices.between(200, 600), {resetsConnections: this.#choices.chance(50)}));
		}

		await Promise.all(running);
	}
}

/** Entries of a program at an address, which would name an endpoint but for one field. */
function incompleteEntries(address: string): JsonValue[] {
	const entry: Record<string, JsonValue> = {
		service: 'desk', address, zone: 'centre-1', state: 'ready', slots: 64, seq: 1, born: 1, version: 'v1', cold_left_ms: 0,
	};
	return ['slots', 'seq', 'version', 'cold_left_ms'].flatMap(field => {
		const {[field]: value, ...rest} = entry;
		return [rest, {...rest, [field]: typeof value === 'number' ? 'some' : 7}];
	});
}

/**
 * Generates entries that name no endpoint.
 *
 * @param ip - An IP address at which nothing listens.
 */
function generateEntries(seed: number, ip: string): JsonValue[] {
	const noAddress = fc.constantFrom(ip, `${ip}:`, `${ip}:port`, `${ip}:65536`, `${ip}:1e99`, '', ':80', 'agent.example', '__proto__');
	const anything = fc.jsonValue({maxDepth: 2}) as fc.Arbitrary<JsonValue>;
	const entry = (service: fc.Arbitrary<JsonValue>, address: fc.Arbitrary<JsonValue>): fc.Arbitrary<JsonValue> => fc.record({
		service,
		address,
		zone: fc.oneof(fc.constant('centre-1'), anything),
		state: fc.oneof(fc.constant('ready'), fc.constant('draining'), anything),
		slots: fc.oneof(fc.integer(), anything),
		born: fc.oneof(fc.nat(), anything),
		version: fc.oneof(fc.constant('v9'), anything),
		cold_left_ms: fc.oneof(fc.integer(), anything),
		models: fc.oneof(fc.constant([{name: 'model', version: 1}]), anything),
	}, {requiredKeys: []}) as fc.Arbitrary<JsonValue>;
	return fc.sample(fc.oneof(
		entry(fc.constantFrom('agent', 'constructor'), fc.oneof(noAddress, fc.constant(`${ip}:80`))),
		entry(fc.constant('desk'), noAddress),
		entry(anything, anything),
		anything,
	), {seed, numRuns: entries});
}
