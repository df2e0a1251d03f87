/**
 * A small deployment of processes on this machine: data centres with entries, model engines, cache stores and plain
 * services, and one set of stand-ins for the platform. The demo and the tests over real processes use it.
 */
import {once} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';
import {exchangeJson} from '../adapters/http-client.js';
import {runApply} from '../operator/declaration-commands.js';
import {OperatorClient} from '../operator/operator-client.js';
import {type JsonValue, type ListedInstance} from '../shared/types.js';
import {ProcessGroup, type StartedProcess} from './process-group.js';

export const demoOperatorKey = 'operator-key-of-the-demo';
const cacheSecret = 'cache-secret-of-the-demo';
const requestTimeoutMilliseconds = 5000;
const readyPollMilliseconds = 50;

/** The processes to start and their arguments. */
export type DeploymentOptions = {
	dataCentres: readonly string[];
	entriesPerDataCentre: number;
	enginesPerDataCentre: number;
	/** The model services; the engines of each data centre serve them in turn. */
	modelServices: ReadonlyArray<{service: string; model: string; weightVersion: string}>;
	plainService: string;
	/** Default: 1. */
	cacheStoresPerDataCentre?: number;
	/** Default: 1. */
	plainServicesPerDataCentre?: number;
	/** Additional arguments of each engine, for example its speed. */
	engineArguments?: readonly string[];
	/** Additional arguments of each entry. */
	entryArguments?: readonly string[];
	/** Returns the address by which an entry reaches the table service. Default: the service's own address. */
	tableAddressFor?(instance: string, table: string): Promise<string>;
};

/** A process and its item in the platform's instance list. */
export type DeployedProcess = {
	listed: ListedInstance;
	process: StartedProcess;
};

/** A running deployment. */
export class Deployment {
	readonly group = new ProcessGroup();
	readonly instances: DeployedProcess[] = [];
	readonly #options: DeploymentOptions;
	#table = '';
	#objects = '';
	#list = '';
	#timeline: StartedProcess | undefined;

	constructor(options: DeploymentOptions) {
		this.#options = options;
	}

	/** Addresses of the platform's stand-ins. */
	get platform(): {table: string; objects: string; list: string} {
		return {table: this.#table, objects: this.#objects, list: this.#list};
	}

	get timeline(): StartedProcess {
		return this.#timeline!;
	}

	/** Starts all processes and announces them in the platform's instance list. */
	async start(): Promise<void> {
		const [table, objects, list, timeline] = await Promise.all([
			this.#startStandIn('table'),
			this.#startStandIn('object'),
			this.#startStandIn('list'),
			this.group.start('timeline/main.js', {arguments: ['--listen', '127.0.0.1:0']}),
		]);
		this.#table = addressOf(table);
		this.#objects = addressOf(objects);
		this.#list = addressOf(list);
		this.#timeline = timeline;
		await Promise.all(this.#options.dataCentres.map(async dataCentre => this.#startDataCentre(dataCentre)));
		await this.announce();
	}

	/** Writes the present instances into the platform's instance list. */
	async announce(): Promise<void> {
		const instances = this.instances.map(({listed}) => listed);
		await exchangeJson({
			method: 'PUT', url: `http://${this.#list}/instances`, body: {instances}, timeoutMilliseconds: requestTimeoutMilliseconds,
		});
	}

	/** Creates a client of the first entry's operator API. */
	operatorClient(): OperatorClient {
		const [entry] = this.withRole('entry');
		return new OperatorClient(String(entry!.process.ready.operators), demoOperatorKey);
	}

	/** Applies a declaration file and waits until it is in force on every entry. Returns the configuration version. */
	async apply(path: string, reason: string, print: (text: string) => void): Promise<number> {
		const client = this.operatorClient();
		await runApply([path], {author: 'demo', reason}, client, {line: print, problem: print});
		const {version} = await client.head();
		await this.waitUntilReady(version);
		return version;
	}

	/** Waits until every entry has at least this configuration version in force, knows the endpoints, and is ready. */
	async waitUntilReady(version: number): Promise<void> {
		for (const {listed} of this.withRole('entry')) {
			for (;;) {
				const {body} = await exchangeJson({method: 'GET', url: `http://${listed.address}/readyz`, timeoutMilliseconds: requestTimeoutMilliseconds});
				const {ready, configurationVersion} = body as {ready: boolean; configurationVersion: number};
				if (ready && configurationVersion >= version) {
					break;
				}

				await delay(readyPollMilliseconds);
			}
		}
	}

	/** Returns the processes with a role. */
	withRole(role: ListedInstance['role']): DeployedProcess[] {
		return this.instances.filter(({listed}) => listed.role === role);
	}

	/** Changes the faults of a stand-in. */
	async setFaults(address: string, faults: Record<string, JsonValue>): Promise<void> {
		await exchangeJson({
			method: 'POST', url: `http://${address}/control`, body: faults, timeoutMilliseconds: requestTimeoutMilliseconds,
		});
	}

	/** Returns the counters of a stand-in. */
	async countsOf(address: string): Promise<Record<string, JsonValue>> {
		const {body} = await exchangeJson({method: 'GET', url: `http://${address}/control`, timeoutMilliseconds: requestTimeoutMilliseconds});
		return (body as {counts: Record<string, JsonValue>}).counts;
	}

	/** Starts another entry without announcing it. */
	async startEntry(name: string, dataCentre: string): Promise<DeployedProcess> {
		const table = await this.#options.tableAddressFor?.(name, this.#table) ?? this.#table;
		const started = await this.group.start('entry/main.js', {
			arguments: [
				'--instance',
				name,
				'--data-centre',
				dataCentre,
				'--listen',
				'127.0.0.1:0',
				'--operator-listen',
				'127.0.0.1:0',
				'--peer-listen',
				'127.0.0.1:0',
				'--table-address',
				table,
				'--object-address',
				this.#objects,
				'--list-address',
				this.#list,
				'--timeline-address',
				addressOf(this.timeline),
				...(this.#options.entryArguments ?? []),
			],
			environment: {SAVORYGAUGE_OPERATOR_KEY: demoOperatorKey, SAVORYGAUGE_CACHE_SECRET: cacheSecret, SAVORYGAUGE_LOG_LEVEL: 'error'},
		});
		const entry: DeployedProcess = {
			process: started,
			listed: {
				name, role: 'entry', dataCentre, service: '', address: String(started.ready.callers), peerAddress: String(started.ready.peers ?? ''), state: 'live',
			},
		};
		this.instances.push(entry);
		return entry;
	}

	/** Kills an entry, starts another one with the same name, and announces it. */
	async replaceEntry(entry: DeployedProcess): Promise<void> {
		const exited = once(entry.process.child, 'exit');
		entry.process.child.kill('SIGKILL');
		await exited;
		this.instances.splice(this.instances.indexOf(entry), 1);
		await this.startEntry(entry.listed.name, entry.listed.dataCentre);
		await this.announce();
	}

	async stop(): Promise<void> {
		await this.group.stop();
	}

	async #startDataCentre(dataCentre: string): Promise<void> {
		const {entriesPerDataCentre, enginesPerDataCentre, modelServices, plainService, engineArguments = []} = this.#options;
		const entries = Array.from({length: entriesPerDataCentre}, async (_, index) => this.startEntry(`${dataCentre}-entry-${index + 1}`, dataCentre));
		const engines = Array.from({length: enginesPerDataCentre}, async (_, index) => {
			const {service, model, weightVersion} = modelServices[index % modelServices.length]!;
			const name = `${dataCentre}-engine-${index + 1}`;
			const started = await this.#startStandIn('engine', ['--model', model, '--weight-version', weightVersion, ...engineArguments]);
			this.#add({
				name, role: 'model-engine', dataCentre, service,
			}, started);
		});
		const stores = Array.from({length: this.#options.cacheStoresPerDataCentre ?? 1}, async (_, index) => {
			this.#add({
				name: `${dataCentre}-cache-${index + 1}`, role: 'cache-store', dataCentre, service: '',
			}, await this.#startStandIn('cache'));
		});
		const plain = Array.from({length: this.#options.plainServicesPerDataCentre ?? 1}, async (_, index) => {
			this.#add({
				name: `${dataCentre}-plain-${index + 1}`, role: 'plain-service', dataCentre, service: plainService,
			}, await this.#startStandIn('plain'));
		});
		await Promise.all([...entries, ...engines, ...stores, ...plain]);
	}

	#add(listed: Pick<ListedInstance, 'name' | 'role' | 'dataCentre' | 'service'>, started: StartedProcess): void {
		this.instances.push({
			process: started, listed: {
				...listed, address: addressOf(started), peerAddress: '', state: 'live',
			},
		});
	}

	async #startStandIn(kind: string, further: readonly string[] = []): Promise<StartedProcess> {
		return this.group.start('stand-in/main.js', {arguments: [kind, ...further]});
	}
}

function addressOf(started: StartedProcess): string {
	return String(started.ready.address);
}
