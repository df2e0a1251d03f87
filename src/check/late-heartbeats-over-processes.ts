/**
 * Checks over real gateway processes that an endpoint that leaves gets no new requests when the store performs a heartbeat late that it
 * wrote before, and that an endpoint whose row is back is used again.
 */
import {type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {type JsonValue} from '../shared/types.js';
import {deskDeployment, startDesk} from './desk-deployment.js';
import {type Arrival, type DeploymentEndpoint, type EndpointScript} from './deployment-endpoint.js';
import {type GatewayDeployment, heartbeatMilliseconds} from './gateway-deployment.js';

/**
 * What the late heartbeat meets.
 *
 * - `draining`: a newer row that says that the endpoint leaves, and differs in other fields.
 * - `removed`: no row any more; the endpoint never says that it leaves.
 * - `unseen`: the same, and the late row has a higher count than the last one that was seen.
 * - `restarted`: a row of the next incarnation, which leaves.
 */
export const lateHeartbeatCases = ['draining', 'removed', 'unseen', 'restarted'] as const;
export type LateHeartbeatCase = (typeof lateHeartbeatCases)[number];

export type LateHeartbeatsReport = {
	/** Requests that reached the endpoint of each case before it left, and later than its drain time. */
	arrivals: Record<LateHeartbeatCase, {before: number; late: number}>;
	/** Requests that the endpoint got whose row was removed for some time, since the row is back. */
	returned: number;
	requests: number;
	served: number;
};

const drainMilliseconds = 2000;
const requestMilliseconds = 10;
const workMilliseconds = 60;
const settleMilliseconds = 1500;
/** The list shows the removal of a row before the late write. */
const lateMilliseconds = drainMilliseconds + 300;
/** The row of an endpoint that came back is believed within this time. */
const returnMilliseconds = 4000;
const events = 2;

/** @param network - Second byte of the loopback addresses. */
export async function runLateHeartbeats(network: number): Promise<LateHeartbeatsReport> {
	const run = new LateHeartbeatsRun(network);
	try {
		return await run.play();
	} finally {
		await run.stop();
	}
}

class LateHeartbeatsRun implements EndpointScript {
	readonly #deployment: GatewayDeployment;
	#endpoints: DeploymentEndpoint[] = [];
	readonly #arrivals: Arrival[] = [];
	readonly #statuses: Array<Promise<number>> = [];

	constructor(network: number) {
		this.#deployment = deskDeployment(network);
	}

	async play(): Promise<LateHeartbeatsReport> {
		this.#endpoints = [...await startDesk(this.#deployment, this)];
		const sending = setInterval(() => {
			this.#send();
		}, requestMilliseconds);
		try {
			await delay(settleMilliseconds);
			const returning = this.#endpoints.at(-1)!;
			returning.setRegistered(false);
			const left = await Promise.all(lateHeartbeatCases.map(async (name, index) => this.#leave(name, this.#endpoints[index]!)));
			const returnedAt = performance.now();
			returning.setRegistered(true);
			await delay(returnMilliseconds);
			clearInterval(sending);
			const statuses = await Promise.all(this.#statuses);
			return {
				arrivals: Object.fromEntries(left) as LateHeartbeatsReport['arrivals'],
				returned: this.#arrivals.filter(({endpoint, at}) => endpoint === returning.name && at > returnedAt).length,
				requests: statuses.length,
				served: statuses.filter(status => status === 200).length,
			};
		} finally {
			clearInterval(sending);
		}
	}

	async stop(): Promise<void> {
		for (const endpoint of this.#endpoints) {
			endpoint.close();
		}

		await this.#deployment.stop();
	}

	arrived(arrival: Arrival): void {
		this.#arrivals.push(arrival);
	}

	headers(): Record<string, string> {
		return {};
	}

	async run(endpoint: DeploymentEndpoint, arrival: Arrival, response: ServerResponse): Promise<void> {
		await delay(workMilliseconds);
		await endpoint.answer(response, arrival, events);
	}

	/** Makes an endpoint leave, performs a heartbeat late, and counts its requests. */
	async #leave(kind: LateHeartbeatCase, endpoint: DeploymentEndpoint): Promise<[LateHeartbeatCase, {before: number; late: number}]> {
		const {name} = endpoint;
		const late = lateRowOf(kind, endpoint);
		if (kind === 'restarted') {
			await endpoint.crash(0, {keepsName: true});
			await delay(settleMilliseconds);
		}

		const isRemoved = kind === 'removed' || kind === 'unseen';
		const leftAt = performance.now();
		endpoint.writeRow(isRemoved ? undefined : endpoint.nextRow('draining'));
		await delay(lateMilliseconds);
		endpoint.writeRow(late);
		await delay(isRemoved ? 3 * heartbeatMilliseconds : heartbeatMilliseconds);
		endpoint.writeRow(isRemoved ? undefined : endpoint.nextRow('draining'));
		const arrivals = this.#arrivals.filter(arrival => arrival.endpoint === name);
		return [kind, {before: arrivals.filter(({at}) => at < leftAt).length, late: arrivals.filter(({at}) => at > leftAt + drainMilliseconds).length}];
	}

	#send(): void {
		const {instances} = this.#deployment;
		const instance = instances[this.#statuses.length % instances.length]!;
		this.#statuses.push((async () => {
			const {status} = await this.#deployment.send(instance, {path: '/lookup/', body: 'x', deadlineMilliseconds: 3000});
			return status;
		})());
	}
}

function lateRowOf(kind: LateHeartbeatCase, endpoint: DeploymentEndpoint): JsonValue {
	const late = endpoint.nextRow('ready');
	// The first row of each incarnation is the only one that was written.
	return {...late, ...(kind === 'removed' ? {seq: 1} : {}), ...(kind === 'draining' ? {slots: 9, cold_left_ms: 1} : {})};
}
