/**
 * Checks over real gateway processes that no answer ends early while the processes of sound endpoints are stopped and go on,
 * a little after each change of the configuration: of idle timeouts, of the timeouts of routes, which never pass, and of the
 * routes there are. Nothing breaks a connection in these runs.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {ProcessGroup} from '../demo/process-group.js';
import {hashOf} from '../shared/hash-of.js';
import {Choices} from './choices.js';
import {GatewayDeployment, usualLimits} from './gateway-deployment.js';
import {KeptCallers} from './kept-callers.js';
import {
	isPrompt, model, pathOf, routeRow, service, serviceRow, type SilentRoute, slots,
} from './silent-routes.js';
import {SilentTraffic, type TrafficReport} from './silent-traffic.js';
import {SilentWork, type WorkReport} from './silent-work.js';
import {type ConnectionQueue, StoppableEndpoint} from './stoppable-endpoint.js';

export type StoppedEndpointsOptions = {
	seed: number;
	/** Second byte of the loopback addresses. */
	network: number;
	milliseconds: number;
	route: SilentRoute;
	requestsPerSecond: number;
	/** The shortest and the longest stop. */
	silenceMilliseconds: readonly [minimum: number, maximum: number];
	/** What new connections meet while an endpoint is stopped. */
	queue: ConnectionQueue;
	/** Share of the endpoints that are stopped at a time, above 0 and up to 1. */
	stoppedShare: number;
	/** How often they are stopped in a row, each time for so long; between, they run for a moment. */
	pieces: number;
	/** How many connections an endpoint has at most; it resets others. */
	connectionLimit: number;
	/** Whether the rows of endpoints expire while they are stopped; they are back with their names. */
	expires: boolean;
	/** Whether the callers keep their connections. */
	keepsConnections: boolean;
};

export type StoppedEndpointsReport = Omit<StoppedEndpointsOptions, 'network'> & TrafficReport & WorkReport & {
	/** How often endpoints were stopped. */
	stops: number;
};

const dataCentres = 3;
const instancesPerDataCentre = 2;
const endpointsPerDataCentre = 4;
/** The addresses behind the forwarders are those of data centres with higher numbers. */
const behindForwarders = 10;
const attempts = 2;
/** Longer than any answer takes with its stops. */
const timeoutMilliseconds = [9000, 12_000] as const;
const deadlineMilliseconds = 9000;
const idleMilliseconds = [600, 15_000] as const;
const eventsOfAnswer = [36, 44] as const;
const eventMilliseconds = 33;
const changeBeforeStopMilliseconds = 600;
const betweenStopsMilliseconds = 1000;
const betweenPiecesMilliseconds = 250;

/** Runs the check. */
export async function runStoppedEndpoints(options: StoppedEndpointsOptions): Promise<StoppedEndpointsReport> {
	const run = new StoppedEndpointsRun(options);
	try {
		await run.start();
		return await run.play();
	} finally {
		await run.stop();
	}
}

class StoppedEndpointsRun {
	readonly #options: StoppedEndpointsOptions;
	readonly #choices: Choices;
	readonly #deployment: GatewayDeployment;
	readonly #traffic: SilentTraffic;
	readonly #work: SilentWork;
	readonly #group = new ProcessGroup();
	readonly #keptCallers = new KeptCallers();
	#endpoints: StoppableEndpoint[] = [];

	constructor(options: StoppedEndpointsOptions) {
		const {seed, network, route, keepsConnections} = options;
		this.#options = options;
		this.#choices = Choices.fromSeed(hashOf(`stopped endpoints ${seed}`));
		this.#deployment = new GatewayDeployment({
			network, dataCentres, instancesPerDataCentre, routes: [routeRow(route, timeoutMilliseconds[0])], services: [serviceRow(route)],
		});
		this.#traffic = new SilentTraffic(this.#deployment, Choices.fromSeed(hashOf(`stopped endpoints ${seed} traffic`)), {
			path: pathOf(route), deadlineMilliseconds, model: isPrompt(route) ? model : undefined, eventsOfAnswer, ...(keepsConnections ? {keptCallers: this.#keptCallers} : {}),
		});
		this.#work = new SilentWork({
			route,
			choices: Choices.fromSeed(hashOf(`stopped endpoints ${seed} work`)),
			eventMilliseconds,
			untilAudible: async endpoint => endpoint.untilAudible(),
			stopsOf: address => this.#endpoints.find(endpoint => endpoint.address === address)?.stops ?? [],
		});
	}

	async start(): Promise<void> {
		const {
			route, queue, connectionLimit, expires,
		} = this.#options;
		this.#endpoints = this.#deployment.dataCentres.flatMap((dataCentre, index) => Array.from({length: endpointsPerDataCentre}, (_, number) => new StoppableEndpoint(this.#deployment, this.#group, {
			dataCentre,
			address: this.#deployment.endpointAddress(index + 1, number + 1),
			listensAt: this.#deployment.endpointAddress(behindForwarders + index + 1, number + 1),
			service,
			slots,
			keepsIdleConnections: true,
			...(isPrompt(route) ? {model} : {}),
		}, {
			script: this.#work, queue, connectionLimit, expires,
		})));
		await Promise.all(this.#endpoints.map(async endpoint => endpoint.start()));
		this.#configure();
		await this.#deployment.start();
	}

	async play(): Promise<StoppedEndpointsReport> {
		const {network: _, ...options} = this.#options;
		const endsAt = performance.now() + options.milliseconds;
		await Promise.all([this.#traffic.sendUntil(endsAt, options.requestsPerSecond), this.#stopEndpoints(endsAt)]);
		return {
			...options,
			...this.#traffic.report,
			...this.#work.report(this.#traffic, this.#deployment.lines()),
			stops: this.#endpoints.reduce((sum, {stops}) => sum + stops.length, 0),
		};
	}

	async stop(): Promise<void> {
		this.#keptCallers.close();
		for (const endpoint of this.#endpoints) {
			endpoint.close();
		}

		await this.#group.stop();
		await this.#deployment.stop();
	}

	async #stopEndpoints(endsAt: number): Promise<void> {
		const {silenceMilliseconds, stoppedShare, pieces} = this.#options;
		const stopped = Math.round(this.#endpoints.length * stoppedShare);
		while (performance.now() < endsAt) {
			await delay(betweenStopsMilliseconds);
			this.#configure();
			await delay(changeBeforeStopMilliseconds);
			const milliseconds = this.#choices.between(...silenceMilliseconds);
			const order = this.#endpoints.map(endpoint => ({endpoint, rank: this.#choices.between(0, 9999)})).toSorted((one, other) => one.rank - other.rank);
			for (let piece = 0; piece < pieces; piece++) {
				await delay(piece === 0 ? 0 : betweenPiecesMilliseconds);
				await Promise.all(order.slice(0, stopped).map(async ({endpoint}) => endpoint.stopFor(milliseconds)));
			}
		}
	}

	#configure(): void {
		const {route} = this.#options;
		const row = routeRow(route, this.#choices.between(...timeoutMilliseconds));
		const further = {...row, name: 'further', prefix: '/further/'};
		this.#deployment.configure([
			{...row, ...(Number(row.max_attempts) > 1 ? {max_attempts: attempts} : {})}, ...(this.#choices.chance(50) ? [further] : []),
		], {limits: {...usualLimits, idle_timeout_ms: this.#choices.between(...idleMilliseconds)}});
	}
}
