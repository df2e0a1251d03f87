/** An endpoint of a check behind a process of its own, which is stopped by SIGSTOP, or falls silent, and goes on. */
import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {type ProcessGroup, type StartedProcess} from '../demo/process-group.js';
import {
	DeploymentEndpoint, type EndpointPlace, type EndpointScript, expiryMilliseconds,
} from './deployment-endpoint.js';
import {type GatewayDeployment} from './gateway-deployment.js';
import {type Span} from './silent-work.js';

/**
 * What new connections meet while the process is stopped; the open ones stay open in each case.
 *
 * - `long`: they are accepted for it.
 * - `full`: they are not established.
 * - `refusing`: they are refused.
 * - `resetting`: they are reset by the process, which is not stopped: only its endpoint is silent.
 */
export type ConnectionQueue = 'long' | 'full' | 'refusing' | 'resetting';
export const connectionQueues: readonly ConnectionQueue[] = ['long', 'full', 'refusing', 'resetting'];

/** What an endpoint does with connections, and with requests. */
export type StoppableOptions = {
	script: EndpointScript;
	queue: ConnectionQueue;
	/** How many connections it has at most; it resets others. */
	connectionLimit: number;
	/** Whether its row expires while it is stopped, as it does not write it; it is back with its name. */
	expires: boolean;
};

const backlogs = {
	long: 511, full: 1, refusing: 511, resetting: 511,
} as const;
/** The kernel lets one more connection wait than the backlog says. */
const placesOfFullQueue = backlogs.full + 1;
const pollMilliseconds = 2;

export class StoppableEndpoint {
	/** When it was stopped. */
	readonly stops: Span[] = [];
	readonly #group: ProcessGroup;
	readonly #place: EndpointPlace & {listensAt: string};
	readonly #options: StoppableOptions;
	readonly #endpoint: DeploymentEndpoint;
	#forwarder: StartedProcess | undefined;

	constructor(deployment: GatewayDeployment, group: ProcessGroup, place: EndpointPlace & {listensAt: string}, options: StoppableOptions) {
		this.#group = group;
		this.#place = place;
		this.#options = options;
		this.#endpoint = new DeploymentEndpoint(deployment, place, options.script);
	}

	get address(): string {
		return this.#place.address;
	}

	async start(): Promise<void> {
		const {address, listensAt} = this.#place;
		const {queue, connectionLimit} = this.#options;
		this.#forwarder = await this.#group.start('check/forwarder-process.js', {
			arguments: [address, listensAt, String(backlogs[queue]), queue === 'resetting' ? 'reset' : 'refuse', String(connectionLimit)],
		});
		await this.#endpoint.start();
	}

	/** Stops it for a time. */
	async stopFor(milliseconds: number): Promise<void> {
		const {child, lines} = this.#forwarder!;
		const {queue} = this.#options;
		if (queue === 'refusing' || queue === 'resetting') {
			const printed = lines.length;
			child.kill('SIGUSR2');
			while (lines.length === printed) {
				await delay(pollMilliseconds);
			}
		}

		if (queue !== 'resetting') {
			child.kill('SIGSTOP');
		}

		const stop: Span = {startedAt: performance.now(), endedAt: Number.POSITIVE_INFINITY};
		this.stops.push(stop);
		this.#endpoint.fallSilent(milliseconds);
		const expiry = this.#options.expires
			? setTimeout(() => {
				this.#endpoint.setRegistered(false);
			}, expiryMilliseconds)
			: undefined;
		const waiting = queue === 'full' ? this.#fillQueue() : [];
		await delay(Math.max(0, stop.startedAt + milliseconds - performance.now()));
		child.kill('SIGCONT');
		stop.endedAt = performance.now();
		clearTimeout(expiry);
		if (expiry !== undefined) {
			this.#endpoint.setRegistered(true);
		}

		for (const socket of waiting) {
			socket.destroy();
		}
	}

	/** Ends it for good. */
	close(): void {
		this.#forwarder?.child.kill('SIGCONT');
		this.#endpoint.close();
	}

	/** Takes the places of its queue that are still free. */
	#fillQueue(): Socket[] {
		const [host = '', port = ''] = this.#place.address.split(':');
		return Array.from({length: placesOfFullQueue}, () => connect(Number(port), host).on('error', () => {
			// It is destroyed in any case.
		}));
	}
}
