/**
 * Checks over a real gateway process that crowds of clients which do not behave neither end it nor use up its memory and descriptors,
 * and that ordinary callers get answers meanwhile. The limits of the process are lowered in its settings, so that small crowds suffice.
 */
import {randomBytes} from 'node:crypto';
import {setMaxListeners} from 'node:events';
import {readdirSync, readFileSync, readlinkSync} from 'node:fs';
import {setTimeout as delay} from 'node:timers/promises';
import {CrowdClient} from './crowd-client.js';
import {type CrowdKind, crowdRequest} from './crowd-requests.js';
import {type Arrival, DeploymentEndpoint, type EndpointScript} from './deployment-endpoint.js';
import {
	type CallerAnswer, deploymentWireNames as names, GatewayDeployment, host, usualLimits,
} from './gateway-deployment.js';

export type MisbehavingClientsOptions = {
	/** Second byte of the loopback addresses. */
	network: number;
	/** Clients of each kind, which all begin at the same time. */
	crowd: Partial<Record<CrowdKind, number>>;
	limitMegabytes: number;
	maxDescriptors: number;
	maxBodyBytes: number;
	/** Whether the settings say that callers compete for memory. */
	hasPressure: boolean;
	/** For how long the crowd sends. */
	milliseconds: number;
};

export type MisbehavingClientsReport = {
	hasEnded: boolean;
	peakMegabytes: number;
	peakDescriptors: number;
	/** Sockets and pipes among them. */
	peakSockets: number;
	/** The status that an ordinary request got while the crowd was still connected, and those of its tries. */
	ordinary: number;
	tries: number[];
	/** Ordinary requests while the crowd was sending, by their last status. */
	meanwhile: Record<string, number>;
	/** What the clients of the crowd got, by status; `open` and `closed` without an answer. */
	crowd: Record<string, number>;
	/** Refusals that do not say that the request did not run or, where it may come back, when. */
	brokenPromises: number;
	/** The status of a body as long as the limit allows, once the crowd has left: with a length, and in small chunks. */
	calm: number[];
};

const service = 'desk';
const timeoutMilliseconds = 10_000;
const ordinaryBody = 'o'.repeat(1000);
const ordinaryTries = 3;
const ordinaryPauseMilliseconds = 200;
const sampleMilliseconds = 25;
const calmSockets = 40;
const calmMilliseconds = 30_000;
const bytesPerMegabyte = 1_048_576;

export async function runMisbehavingClients(options: MisbehavingClientsOptions): Promise<MisbehavingClientsReport> {
	const run = new MisbehavingClientsRun(options);
	try {
		await run.start();
		return await run.play();
	} finally {
		await run.stop();
	}
}

class MisbehavingClientsRun implements EndpointScript {
	readonly #options: MisbehavingClientsOptions;
	readonly #deployment: GatewayDeployment;
	readonly #endpoints: DeploymentEndpoint[];
	readonly #clients: CrowdClient[] = [];
	#peakBytes = 0;
	#peakDescriptors = 0;
	#peakSockets = 0;

	constructor(options: MisbehavingClientsOptions) {
		this.#options = options;
		this.#deployment = new GatewayDeployment({
			network: options.network,
			dataCentres: 1,
			instancesPerDataCentre: 1,
			routes: [{
				host, service, name: 'lookup', prefix: '/lookup/', kind: 'idempotent', timeout_ms: timeoutMilliseconds, target_latency_ms: 600, gap_aim_ms: 0, max_attempts: 2,
			}],
			services: [{name: service}],
			limits: {...usualLimits, max_body_bytes: options.maxBodyBytes},
			// As the deployment starts it.
			environmentOf: () => ({NODE_OPTIONS: '--max-old-space-size=96'}),
			settings: {
				'limits.memory_mb': options.limitMegabytes, 'limits.max_fds': options.maxDescriptors, contracts: options.hasPressure ? 'pressure' : 'base',
			},
		});
		this.#endpoints = [1, 2].map(number => new DeploymentEndpoint(this.#deployment, {
			dataCentre: 'centre-1', address: this.#deployment.endpointAddress(1, number), service, slots: 4096,
		}, this));
	}

	async start(): Promise<void> {
		await Promise.all(this.#endpoints.map(async endpoint => endpoint.start()));
		await this.#deployment.start();
	}

	async play(): Promise<MisbehavingClientsReport> {
		const sampling = setInterval(() => {
			this.#sample();
		}, sampleMilliseconds);
		const sent = new AbortController();
		const meanwhile: Record<string, number> = {};
		const ordinaryCalls = this.#sendOrdinary(sent.signal, meanwhile);
		await this.#sendCrowd();
		sent.abort();
		await ordinaryCalls;
		const tries = await this.#callOrdinary();
		this.#sample();
		const crowd = this.#judgeCrowd();
		const calm = await this.#callInCalm();
		clearInterval(sampling);
		return {
			hasEnded: this.#hasEnded,
			peakMegabytes: Math.round(this.#peakBytes / bytesPerMegabyte),
			peakDescriptors: this.#peakDescriptors,
			peakSockets: this.#peakSockets,
			ordinary: tries.at(-1) ?? 0,
			tries,
			meanwhile,
			...crowd,
			calm,
		};
	}

	async stop(): Promise<void> {
		this.#leave();
		for (const endpoint of this.#endpoints) {
			endpoint.close();
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
		await endpoint.answer(response, arrival, 1);
	}

	get #address(): string {
		return this.#deployment.instances[0]!.address;
	}

	get #hasEnded(): boolean {
		const {child} = this.#deployment.instances[0]!.process;
		return child.exitCode !== null || child.signalCode !== null;
	}

	/** Sends all requests of the crowd at the same time, and waits until they are sent, or time is over. */
	async #sendCrowd(): Promise<void> {
		const {crowd, maxBodyBytes, milliseconds} = this.#options;
		const signal = AbortSignal.timeout(milliseconds);
		setMaxListeners(0, signal);
		const sending: Array<Promise<void>> = [];
		const mostClients = Math.max(...Object.values(crowd));
		for (let index = 0; index < mostClients; index++) {
			for (const [kind, count] of Object.entries(crowd) as Array<[CrowdKind, number]>) {
				if (index < count) {
					const client = new CrowdClient(this.#address);
					this.#clients.push(client);
					sending.push(client.send(crowdRequest(kind, index, {lines: this.#lines(), maxBodyBytes}), signal));
				}
			}
		}

		await Promise.all(sending);
	}

	#lines(): string[] {
		return ['POST /lookup/crowd HTTP/1.1', `host: ${host}`, `${names.attemptId}: ${randomBytes(8).toString('hex')}`, `${names.deadline}: ${timeoutMilliseconds}`];
	}

	/** Sends ordinary requests one after the other until the signal aborts. */
	async #sendOrdinary(signal: AbortSignal, statuses: Record<string, number>): Promise<void> {
		while (!signal.aborted) {
			const tries = await this.#callOrdinary();
			const status = tries.at(-1) ?? 0;
			statuses[status] = (statuses[status] ?? 0) + 1;
			await delay(ordinaryPauseMilliseconds);
		}
	}

	/** Sends one ordinary request, whose caller tries again after the time of `Retry-After`. Returns the status of each try. */
	async #callOrdinary(): Promise<number[]> {
		const statuses: number[] = [];
		while (statuses.length < ordinaryTries && statuses.at(-1) !== 200 && !this.#hasEnded) {
			const {status, retryAfterSeconds} = await this.#call(ordinaryBody);
			statuses.push(status);
			await delay(1000 * Math.min(retryAfterSeconds ?? 0, timeoutMilliseconds / 3000));
		}

		return statuses;
	}

	async #call(body: string): Promise<CallerAnswer> {
		return this.#deployment.send(this.#deployment.instances[0]!, {path: '/lookup/ordinary', body, deadlineMilliseconds: timeoutMilliseconds});
	}

	#judgeCrowd(): Pick<MisbehavingClientsReport, 'crowd' | 'brokenPromises'> {
		const crowd: Record<string, number> = {};
		let brokenPromises = 0;
		for (const client of this.#clients) {
			const outcome = client.status === 0 ? (client.isOpen ? 'open' : 'closed') : String(client.status);
			crowd[outcome] = (crowd[outcome] ?? 0) + 1;
			brokenPromises += isPromiseKept(client) ? 0 : 1;
		}

		return {crowd, brokenPromises};
	}

	/** Lets the crowd leave, and sends the longest bodies that the limits allow, one at a time. */
	async #callInCalm(): Promise<number[]> {
		this.#leave();
		const endsAt = performance.now() + calmMilliseconds;
		while (this.#countSockets() > calmSockets && performance.now() < endsAt) {
			await delay(sampleMilliseconds);
		}

		const {maxBodyBytes} = this.#options;
		const {status} = await this.#call('b'.repeat(maxBodyBytes));
		const client = new CrowdClient(this.#address);
		this.#clients.push(client);
		const signal = AbortSignal.timeout(calmMilliseconds);
		await client.send(crowdRequest('small-chunks', 0, {lines: this.#lines(), maxBodyBytes}), signal);
		while (client.status === 0 && client.isOpen && !signal.aborted) {
			await delay(sampleMilliseconds);
		}

		return [status, client.status];
	}

	#leave(): void {
		for (const client of this.#clients) {
			client.leave();
		}
	}

	#sample(): void {
		const {pid} = this.#deployment.instances[0]!.process.child;
		try {
			const status = readFileSync(`/proc/${pid}/status`, 'utf8');
			this.#peakBytes = Math.max(this.#peakBytes, Number(/VmHWM:\s+(?<kilobytes>\d+)/v.exec(status)?.groups?.kilobytes ?? 0) * 1024);
			this.#peakDescriptors = Math.max(this.#peakDescriptors, readdirSync(`/proc/${pid}/fd`).length);
			this.#peakSockets = Math.max(this.#peakSockets, this.#countSockets());
		} catch {
			// The process has ended.
		}
	}

	/** The sockets and pipes that the process has open. */
	#countSockets(): number {
		const folder = `/proc/${this.#deployment.instances[0]!.process.child.pid}/fd`;
		try {
			return readdirSync(folder).filter(descriptor => {
				try {
					return /^(?:socket|pipe):/v.test(readlinkSync(`${folder}/${descriptor}`));
				} catch {
					return false;
				}
			}).length;
		} catch {
			return 0;
		}
	}
}

/** Whether a refusal says that the request did not run and, where its caller may come back, when. */
function isPromiseKept({status, received}: CrowdClient): boolean {
	if (status < 400) {
		return true;
	}

	const mayComeBack = (status === 503 || status === 429) && !received.includes('"code":"deadline"');
	return received.includes('"ran":"not-run"') && (!mayComeBack || /^retry-after: [\d.]+\r$/imv.test(received));
}
