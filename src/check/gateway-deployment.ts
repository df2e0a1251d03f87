/**
 * Real gateway processes before a stand-in of the platform's store, in several data centres on this machine, with endpoints of
 * the check's own. Each instance and endpoint has a loopback address, so all use the same ports.
 */
import {randomBytes} from 'node:crypto';
import {once} from 'node:events';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {request as sendRequest, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {ProcessGroup, type StartedProcess} from '../demo/process-group.js';
import {createPlatformStoreStandIn} from '../platform/platform-store-stand-in.js';
import {settingsPathVariable} from '../platform/settings-file.js';
import {platformWireNames} from '../platform/wire-names.js';
import {MemoryFeedTable} from '../test/memory-feed-table.js';
import {type JsonValue} from '../shared/types.js';

/** The names of the headers that requests and answers of these processes carry. */

/** The table in which endpoints register themselves. */
export const endpointTable = 'servers';
/** Names the instance that a request was sent to; it is forwarded to the endpoint. */
export const instanceHeader = 'x-check-instance';
export const host = 'quay.example';
/** Time after which the instances know what another one has found. */
export const contactMilliseconds = 3000;
export const heartbeatMilliseconds = 400;
/** After SIGTERM. */
export const graceMilliseconds = 8000;

/** By how much endpoints may get more requests a second while they warm up than their service declares. */
export const warmUpBound = {ratio: 1.5, extra: 2};

const readyTimeoutMilliseconds = 20_000;
const ports = {
	callers: 8005, ready: 8002, peers: 7700, endpoint: 8268,
};

export const usualLimits = {
	max_header_bytes: 16_384, max_body_bytes: 1_000_000, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
};

export type DeploymentOptions = {
	/** Second byte of all loopback addresses; runs at the same time need different ones. */
	network: number;
	dataCentres: number;
	instancesPerDataCentre: number;
	routes: JsonValue[];
	services: JsonValue[];
	/** The limits of the first configuration; the usual ones if absent. */
	limits?: JsonValue;
	/** Further fields of the settings files. */
	settings?: Record<string, string | number>;
	/** Environment variables of an instance's process. */
	environmentOf?: (instance: string) => Record<string, string>;
};

/** An answer as the caller got it. */
export type CallerAnswer = {
	status: number;
	/** Whether the answer was complete. */
	isWhole: boolean;
	/** What arrived of the body. */
	body: string;
	retryAfterSeconds: number | undefined;
};

/** A request to send. */
export type CallerRequest = {
	path: string;
	body: string;
	deadlineMilliseconds: number;
	/** Headers in addition to those of every request, or in place of them. */
	headers?: Record<string, string>;
};

/** One instance, which may be killed and started again. */
export type GatewayInstance = {
	name: string;
	dataCentre: string;
	address: string;
	/** When it was last killed, started, or cut off from the store, in milliseconds of `performance.now()`. */
	disturbedAt: number;
	/** When it was killed, started, frozen or resumed, in milliseconds of `performance.now()`. */
	interruptions: number[];
	process: StartedProcess;
};

export class GatewayDeployment {
	readonly table = new MemoryFeedTable();
	readonly instances: GatewayInstance[] = [];
	readonly #options: DeploymentOptions;
	readonly #group = new ProcessGroup();
	readonly #stores = new Map<string, {server: Server; address: string}>();
	readonly #unavailable = new Set<string>();
	#configurationVersion = 0;
	readonly #folder = mkdtempSync(path.join(tmpdir(), 'savorygauge-deployment-'));

	constructor(options: DeploymentOptions) {
		this.#options = options;
	}

	/** The names of the data centres. */
	get dataCentres(): string[] {
		return Array.from({length: this.#options.dataCentres}, (_, index) => `centre-${index + 1}`);
	}

	/** The names of all instances, also before they are started. */
	instanceNames(): string[] {
		return this.dataCentres.flatMap(dataCentre => Array.from({length: this.#options.instancesPerDataCentre}, (_, number) => `${dataCentre}-${number + 1}`));
	}

	/** Starts the stores and all instances, and waits until every instance is ready. */
	async start(): Promise<void> {
		this.configure(this.#options.routes, this.#options.limits === undefined ? {} : {limits: this.#options.limits});
		for (const dataCentre of this.dataCentres) {
			const server = createPlatformStoreStandIn(this.table, () => !this.#unavailable.has(dataCentre));
			server.listen(0, '127.0.0.1');
			await once(server, 'listening');
			this.#stores.set(dataCentre, {server, address: `127.0.0.1:${(server.address() as AddressInfo).port}`});
		}

		await Promise.all(this.dataCentres.flatMap((dataCentre, index) => Array.from({length: this.#options.instancesPerDataCentre}, async (_, number) => {
			const name = `${dataCentre}-${number + 1}`;
			const ip = this.addressOf(index + 1, number + 1);
			const instance: GatewayInstance = {
				name, dataCentre, address: `${ip}:${ports.callers}`, disturbedAt: 0, interruptions: [], process: await this.#startProcess(name, dataCentre, ip),
			};
			this.instances.push(instance);
			await waitUntilReady(ip);
		})));
	}

	/**
	 * Writes the next version of the configuration.
	 *
	 * @param routes - Its routes.
	 * @param further - Limits and workspaces; without them the usual limits hold, and no request needs a key.
	 */
	configure(routes: JsonValue[], further: {limits?: JsonValue; tenants?: JsonValue[]} = {}): void {
		this.#configurationVersion++;
		this.table.write({table: 'op', key: 'config'}, {
			version: this.#configurationVersion, routes, services: this.#options.services, limits: usualLimits, ...further,
		});
	}

	/** Requests the evacuation of a data centre, or takes it back. */
	setEvacuated(dataCentre: string, isEvacuated: boolean): void {
		this.table.write({table: 'op', key: `evacuate/${dataCentre}`}, isEvacuated ? {} : undefined);
	}

	/** A loopback address of this deployment. */
	addressOf(group: number, number: number): string {
		return `127.${this.#options.network}.${group}.${number}`;
	}

	/** The address of the endpoint with this number in a data centre. */
	endpointAddress(dataCentreNumber: number, number: number): string {
		return `${this.addressOf(100 + dataCentreNumber, number)}:${ports.endpoint}`;
	}

	/** Kills an instance, or asks it to stop, and starts it again, unless it has just been sent a signal. */
	async restart(instance: GatewayInstance, signal: 'SIGKILL' | 'SIGTERM' = 'SIGKILL'): Promise<void> {
		const {child} = instance.process;
		if (child.killed) {
			return;
		}

		noteInterruption(instance);
		child.kill(signal);
		await once(child, 'exit');
		const [ip = ''] = instance.address.split(':', 1);
		instance.process = await this.#startProcess(instance.name, instance.dataCentre, ip);
		noteInterruption(instance);
	}

	/** Freezes an instance for a time: its connections stay open, and nothing reads them. */
	async freeze(instance: GatewayInstance, milliseconds: number): Promise<void> {
		const {child} = instance.process;
		noteInterruption(instance);
		child.kill('SIGSTOP');
		await delay(milliseconds);
		child.kill('SIGCONT');
		noteInterruption(instance);
	}

	/** The instance that holds the coordinator's lease, as far as the store knows. */
	coordinator(): GatewayInstance | undefined {
		const row = this.table.range('leases', 'hub', undefined).find(({key}) => key === 'hub');
		return this.instances.find(({name}) => name === (row?.value as {holder?: string} | undefined)?.holder);
	}

	/** Cuts a data centre off from the store for a time. */
	async cutStore(dataCentre: string, milliseconds: number): Promise<void> {
		this.#unavailable.add(dataCentre);
		this.#noteDisturbed(dataCentre);
		await delay(milliseconds);
		this.#unavailable.delete(dataCentre);
		this.#noteDisturbed(dataCentre);
	}

	/** Whether an instance answers its readiness check in time. */
	async isReady({address}: GatewayInstance, timeoutMilliseconds: number): Promise<boolean> {
		const [ip = ''] = address.split(':', 1);
		const answer = await fetch(`http://${ip}:${ports.ready}/readiness`, {signal: AbortSignal.timeout(timeoutMilliseconds)}).catch(() => undefined);
		return answer?.status === 200;
	}

	/** Sends one request to an instance. */
	async send(instance: GatewayInstance, {path: target, body, deadlineMilliseconds, headers}: CallerRequest): Promise<CallerAnswer> {
		const separator = instance.address.lastIndexOf(':');
		return new Promise(resolve => {
			const failed = (): void => {
				resolve({
					status: 0, isWhole: false, body: '', retryAfterSeconds: undefined,
				});
			};

			const outgoing = sendRequest({
				host: instance.address.slice(0, separator),
				port: Number(instance.address.slice(separator + 1)),
				method: 'POST',
				path: target,
				agent: false,
				headers: {
					host, [platformWireNames.attemptId]: randomBytes(8).toString('hex'), [platformWireNames.deadline]: String(deadlineMilliseconds), [instanceHeader]: instance.name, ...headers,
				},
			}, response => {
				const retryAfter = response.headers['retry-after'];
				const answer = {status: response.statusCode ?? 0, retryAfterSeconds: retryAfter === undefined ? undefined : Number(retryAfter)};
				let received = '';
				response.setEncoding('utf8').on('data', (chunk: string) => {
					received += chunk;
				}).on('error', () => {
					// The end of the connection ends the answer.
				}).once('close', () => {
					resolve({...answer, isWhole: response.complete, body: received});
				});
			});
			outgoing.setTimeout(deadlineMilliseconds, () => {
				outgoing.destroy();
			});
			outgoing.on('error', failed);
			outgoing.end(body);
		});
	}

	/** All log lines of the present process of each instance. */
	lines(): Array<Record<string, JsonValue>> {
		return this.instances.flatMap(({process}) => process.lines.map(line => JSON.parse(line) as Record<string, JsonValue>));
	}

	async stop(): Promise<void> {
		for (const {process} of this.instances) {
			process.child.kill('SIGKILL');
		}

		await this.#group.stop();
		for (const {server} of this.#stores.values()) {
			server.closeAllConnections();
			server.close();
		}
	}

	#noteDisturbed(dataCentre: string): void {
		for (const instance of this.instances.filter(other => other.dataCentre === dataCentre)) {
			instance.disturbedAt = performance.now();
		}
	}

	async #startProcess(name: string, dataCentre: string, ip: string): Promise<StartedProcess> {
		const file = path.join(this.#folder, `${name}.conf`);
		writeFileSync(file, Object.entries({
			node: name,
			zone: dataCentre,
			ip,
			'listen.front': `${ip}:${ports.callers}`,
			'listen.ready': `${ip}:${ports.ready}`,
			internal_ports: `${ports.peers},${ports.peers + 15}`,
			'platform.address': this.#stores.get(dataCentre)!.address,
			heartbeat_ms: heartbeatMilliseconds,
			'bounds.config_apply_ms': 2000,
			'bounds.revoke_ms': 5000,
			'bounds.drain_ms': 2000,
			'bounds.grace_s': graceMilliseconds / 1000,
			'bounds.budget_ratio': 0.2,
			'bounds.budget_window_s': 10,
			'bounds.contact_ms': contactMilliseconds,
			'bounds.cold_over': warmUpBound.ratio,
			'bounds.cold_slack': warmUpBound.extra,
			...this.#options.settings,
		}).map(([key, value]) => `${key}=${value}`).join('\n'));
		return this.#group.start('gateway/main.js', {arguments: [], environment: {...this.#options.environmentOf?.(name), [settingsPathVariable]: file}});
	}
}

function noteInterruption(instance: GatewayInstance): void {
	instance.disturbedAt = performance.now();
	instance.interruptions.push(instance.disturbedAt);
}

async function waitUntilReady(ip: string): Promise<void> {
	const endsAt = performance.now() + readyTimeoutMilliseconds;
	while (performance.now() < endsAt) {
		const answer = await fetch(`http://${ip}:${ports.ready}/readiness`).catch(() => undefined);
		if (answer?.status === 200) {
			return;
		}

		await delay(50);
	}

	throw new Error(`the instance at ${ip} did not become ready`);
}

export {blockEventsPath, blockEventsWaitHeader, emptyBlockEvents} from '../platform/empty-block-events.js';
export {platformWireNames as deploymentWireNames} from '../platform/wire-names.js';
export {platformRouteFieldNames as routeFieldNames} from '../platform/route-field-names.js';
