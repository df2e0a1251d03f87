/**
 * Checks over real gateway processes that requests are served at the first attempt while the platform hands most new connections
 * of a data centre, or of all, to one instance and then to another, and several times as many come.
 *
 * A try is not counted whose connection was not established or was closed with the request unread, or which was in flight at an
 * instance as that was killed.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {hashOf} from '../shared/hash-of.js';
import {Choices} from './choices.js';
import {deskDeployment, deskPaths, startDesk} from './desk-deployment.js';
import {type DeploymentEndpoint} from './deployment-endpoint.js';
import {contactMilliseconds, type GatewayDeployment} from './gateway-deployment.js';
import {LoadBalancer, type SkewScope} from './load-balancer.js';
import {SkewedCallers, type SkewedRequest, type SkewedTry} from './skewed-callers.js';
import {SkewedEndpoints, type EndpointKind} from './skewed-endpoints.js';
import {ThrottledProcess} from './throttled-process.js';

/**
 * What is wrong beside the skew.
 *
 * - `store`: the store is away for all while connections are skewed.
 * - `target`: the instance that gets most connections is killed, and back at once.
 * - `coordinator`: the coordinator is.
 * - `pause`: the coordinator stops for a moment each time another instance gets most connections.
 * - `slow`: the instance that gets most connections has a share of its processor time only.
 */
export const skewDisturbances = ['none', 'store', 'target', 'coordinator', 'pause', 'slow'] as const;
export type SkewDisturbance = typeof skewDisturbances[number];

export type SkewedConnectionsOptions = {
	seed: number;
	/** Second byte of the loopback addresses. */
	network: number;
	scope: SkewScope;
	disturbance: SkewDisturbance;
	endpoints: EndpointKind;
	/** Before connections are skewed. */
	requestsPerSecond: number;
	/** How many times as many come while they are. */
	factor: number;
	/** How long connections are skewed. */
	skewMilliseconds: number;
	/** Share of its processor time that a slow instance has. */
	processorShare: number;
	/** How long a request holds a slot of a brittle endpoint. */
	brittleWorkMilliseconds: number;
};

/** Requests whose first try that was read was served, of all that were read. */
export type FirstTries = {read: number; served: number};

export type SkewedConnectionsReport = Omit<SkewedConnectionsOptions, 'network'> & {
	before: FirstTries;
	/** From the contact time after connections were skewed. */
	skewed: FirstTries;
	/** Of these, the ones whose first try that was read was at the instance that got most connections. */
	atTarget: FirstTries;
	/** First tries within that time that were read and not served, by end and status. */
	failures: Record<string, number>;
	/** Tries within that time that were not read, by end. */
	unread: Record<string, number>;
	/** Requests of the path that is sent once which ran more than once. */
	repeated: number;
	/** Tries that were refused as not run although they reached an endpoint that ran them. */
	wronglyRefused: number;
	/** How often brittle endpoints fell over. */
	falls: number;
	/** Arrivals at endpoints beyond the first of each try, as a share of all requests. */
	retryShare: number;
};

const leadMilliseconds = 1000;
const beforeMilliseconds = 2500;
const pauseMilliseconds = 400;
const minShareOfBefore = 0.75;
const allowedRetryShare = 0.2;

export async function runSkewedConnections(options: SkewedConnectionsOptions): Promise<SkewedConnectionsReport> {
	const run = new SkewedConnectionsRun(options);
	try {
		await run.start();
		return await run.play();
	} finally {
		await run.stop();
	}
}

/** Returns what a run must not show. */
export function skewFindings({before, skewed, repeated, wronglyRefused, retryShare}: SkewedConnectionsReport): string[] {
	return [
		...(shareOf(skewed) < minShareOfBefore * shareOf(before) ? ['served at the first attempt less than three quarters as often'] : []),
		...(repeated > 0 ? ['sent once, and ran twice'] : []),
		...(wronglyRefused > 0 ? ['refused, and ran'] : []),
		...(retryShare > allowedRetryShare ? ['more retries than allowed'] : []),
	];
}

class SkewedConnectionsRun {
	readonly #options: SkewedConnectionsOptions;
	readonly #deployment: GatewayDeployment;
	readonly #balancer: LoadBalancer;
	readonly #callers: SkewedCallers;
	readonly #script: SkewedEndpoints;
	#endpoints: DeploymentEndpoint[] = [];
	#throttled: ThrottledProcess | undefined;
	/** Which instance got most connections, and from when on. */
	readonly #targets: Array<{name: string; from: number}> = [];

	constructor(options: SkewedConnectionsOptions) {
		this.#options = options;
		const choices = (of: string): Choices => Choices.fromSeed(hashOf(`skewed connections ${options.seed} ${of}`));
		this.#deployment = deskDeployment(options.network);
		this.#balancer = new LoadBalancer(this.#deployment, choices('balancer'));
		this.#callers = new SkewedCallers(this.#deployment, this.#balancer, choices('callers'));
		this.#script = new SkewedEndpoints(options.endpoints, choices('endpoints'), options.brittleWorkMilliseconds);
	}

	async start(): Promise<void> {
		this.#endpoints = await startDesk(this.#deployment, this.#script);
	}

	async play(): Promise<SkewedConnectionsReport> {
		const {requestsPerSecond, factor, skewMilliseconds, scope} = this.#options;
		const beganAt = performance.now() + leadMilliseconds + beforeMilliseconds;
		const endsAt = beganAt + skewMilliseconds;
		const checking = this.#balancer.run();
		const sending = this.#callers.sendUntil(endsAt, () => requestsPerSecond * (performance.now() < beganAt ? 1 : factor));
		await delay(beganAt - performance.now());
		this.#balancer.skew(scope);
		await Promise.all([sending, this.#disturb(beganAt, endsAt)]);
		this.#throttled?.end();
		this.#balancer.close();
		await checking;
		return this.#report(beganAt);
	}

	async stop(): Promise<void> {
		this.#throttled?.end();
		this.#balancer.close();
		for (const endpoint of this.#endpoints) {
			endpoint.close();
		}

		await this.#deployment.stop();
	}

	/** Skewed connections go to another instance half way. */
	async #disturb(beganAt: number, endsAt: number): Promise<void> {
		const {disturbance, skewMilliseconds} = this.#options;
		const cutting = disturbance === 'store' ? this.#deployment.dataCentres.map(async name => this.#deployment.cutStore(name, skewMilliseconds)) : [];
		await this.#noteTarget();
		await delay(beganAt + (skewMilliseconds / 2) - performance.now());
		const instance = {target: this.#balancer.target, coordinator: this.#deployment.coordinator()}[disturbance as string];
		const restarting = instance === undefined ? undefined : this.#deployment.restart(instance);
		if (disturbance !== 'target') {
			this.#balancer.moveTarget();
			await this.#noteTarget();
		}

		await Promise.all([restarting, ...cutting]);
		await delay(Math.max(0, endsAt - performance.now()));
	}

	async #noteTarget(): Promise<void> {
		const {target} = this.#balancer;
		this.#targets.push({name: target!.name, from: performance.now()});
		if (this.#options.disturbance === 'slow') {
			this.#throttled?.end();
			this.#throttled = new ThrottledProcess(target!.process.child, this.#options.processorShare);
		}

		const coordinator = this.#deployment.coordinator();
		if (this.#options.disturbance === 'pause' && coordinator !== undefined) {
			await this.#deployment.freeze(coordinator, pauseMilliseconds);
		}
	}

	#report(beganAt: number): SkewedConnectionsReport {
		const {network: _, ...options} = this.#options;
		const {requests} = this.#callers;
		const counted = requests.filter(({sentAt}) => sentAt >= beganAt + contactMilliseconds);
		const firstOf = (some: readonly SkewedRequest[]): SkewedTry[] => some.flatMap(({tries}) => tries.find(tried => this.#isRead(tried)) ?? []).filter(tried => !wasKilled(tried));
		const firstTries = firstOf(counted);
		const runs = [...this.#script.runs.values()];
		return {
			...options,
			before: firstTriesOf(firstOf(requests.filter(({sentAt}) => sentAt < beganAt && sentAt >= beganAt - beforeMilliseconds))),
			skewed: firstTriesOf(firstTries),
			atTarget: firstTriesOf(firstTries.filter(({instance, startedAt}) => this.#targets.findLast(({from}) => from <= startedAt)?.name === instance.name)),
			failures: countBy(firstTries.filter(tried => !isServed(tried)), ({answer}) => `${answer.end} ${answer.status} ${codeOf(answer.body)}`),
			unread: countBy(counted.flatMap(({tries}) => tries).filter(tried => !this.#isRead(tried)), ({answer}) => answer.end),
			repeated: requests.filter(({path, body}) => path === deskPaths[0] && (this.#script.runs.get(body) ?? 0) > 1).length,
			wronglyRefused: requests.filter(({tries, body}) => tries.every(({answer}) => answer.status === 503) && this.#script.runs.has(body)).length,
			falls: this.#script.falls,
			retryShare: Math.round(1000 * runs.reduce((sum, count) => sum + count - 1, 0) / requests.length) / 1000,
		};
	}

	/** A connection that ended without an answer counts as read unless no log line and no endpoint knows of the try. */
	#isRead({answer, attemptId, instance}: SkewedTry): boolean {
		if (answer.end === 'not-connected') {
			return false;
		}

		return answer.status > 0 || answer.end === 'timeout' || instance.process.lines.some(line => line.includes(attemptId));
	}
}

function wasKilled({instance, startedAt, endedAt}: SkewedTry): boolean {
	return instance.interruptions.some(at => at >= startedAt && at <= endedAt);
}

function isServed({answer: {status, end}}: SkewedTry): boolean {
	return status === 200 && end === 'complete';
}

function firstTriesOf(tries: readonly SkewedTry[]): FirstTries {
	return {read: tries.length, served: tries.filter(tried => isServed(tried)).length};
}

function shareOf({read, served}: FirstTries): number {
	return read === 0 ? 0 : served / read;
}

function codeOf(body: string): string {
	return /"code":"(?<code>[^"]+)"/v.exec(body)?.groups?.code ?? '';
}

function countBy<Entry>(entries: readonly Entry[], nameOf: (entry: Entry) => string): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const entry of entries) {
		const name = nameOf(entry).trim();
		counts[name] = (counts[name] ?? 0) + 1;
	}

	return counts;
}
