/**
 * Notices when an endpoint may have another software version than its row states.
 *
 * An endpoint that crashes may be back under its name at another version before its row says so, and a stream would go on at the
 * wrong version. Answers do not distinguish the two processes, but no connection outlives its process. So, while a service with
 * resumable streams has several versions, one connection is kept open to each of its endpoints. Once it has ended, the version is
 * certain again when a new connection proves which process it leads to: `RowAppearances` has the rules.
 *
 * What is not watched counts as certain: endpoints to which no connection was established yet, those that take few connections,
 * and those beyond a number that keeps the connections of an instance few.
 */
import {type Socket} from 'node:net';
import {type MomentClock} from '../../ports/moment-clock.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {alignedDelay} from '../../shared/aligned-delay.js';
import {InterruptibleSleep} from '../../shared/interruptible-sleep.js';
import {type RoutedConfiguration} from '../../shared/routed-configuration.js';
import {type Child} from '../../supervisor/supervisor.js';
import {type EndpointRegistry} from './endpoint-registry.js';
import {ProcessWatch} from './process-watch.js';
import {connectEndpoint} from './connect-endpoint.js';

export type EndpointWatchesDependencies = {
	clock: MomentClock;
	configuration: {readonly current: Pick<RoutedConfiguration, 'routes' | 'services'> | undefined};
	endpoints: Pick<EndpointRegistry, 'all' | 'appearances' | 'hasSeveralVersions' | 'hasAnySeveralVersions' | 'versionChanges'>;
	dataCentre: string;
	/** How many instances there are. */
	instances: () => number;
	/** Whether this instance can connect to an endpoint, as far as it knows. */
	hasDirectPath: (endpoint: EndpointRecord) => boolean;
};

/** What is known about the processes at the addresses of endpoints. */
export interface EndpointVersions {
	/** Whether the process that answers at an endpoint's address is taken to be at the version of its row. */
	isCertain(endpoint: EndpointRecord): boolean;
}

const checkIntervalMilliseconds = 50;
/** How often it is decided which endpoints are watched; a large list takes a millisecond. */
const selectIntervalMilliseconds = 500;
const maxWatches = 64;
/** The connections of requests must not suffer from those that watch. */
const minConnectionsPerInstance = 8;

type Watched = {watch: ProcessWatch; socket: Socket | undefined; isConnecting: boolean};

export class EndpointWatches implements EndpointVersions, Child {
	readonly name = 'endpoint-watches';
	readonly #dependencies: EndpointWatchesDependencies;
	readonly #watched = new Map<string, Watched>();
	readonly #pause: InterruptibleSleep;
	#selectedAt = Number.NEGATIVE_INFINITY;
	/** Whether nothing is selected until a service gets a second version. */
	#isResting = false;

	constructor(dependencies: EndpointWatchesDependencies) {
		this.#dependencies = dependencies;
		this.#pause = new InterruptibleSleep(dependencies.clock);
		dependencies.endpoints.versionChanges.subscribe(() => {
			if (this.#isResting) {
				this.#pause.interrupt();
			}
		});
	}

	isCertain(endpoint: EndpointRecord): boolean {
		const {endpoints} = this.#dependencies;
		return this.#watched.get(endpoint.address)?.watch.isCertain(process => endpoints.appearances.isProcessOf(endpoint, process), this.#now()) ?? true;
	}

	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			this.#step();
			if (this.#watched.size > 0) {
				await this.#pause.sleep(checkIntervalMilliseconds, signal);
			} else if (this.#dependencies.endpoints.hasAnySeveralVersions) {
				await this.#pause.sleep(alignedDelay(this.#now(), selectIntervalMilliseconds), signal);
			} else {
				this.#isResting = true;
				await this.#pause.wait(signal);
				this.#isResting = false;
				this.#selectedAt = Number.NEGATIVE_INFINITY;
			}
		}

		for (const address of this.#watched.keys()) {
			this.#forget(address);
		}
	}

	#step(): void {
		const now = this.#now();
		if (now - this.#selectedAt >= selectIntervalMilliseconds) {
			this.#selectedAt = now;
			this.#select();
		}

		for (const [address, watched] of this.#watched) {
			if (!watched.isConnecting && watched.watch.isDue(now)) {
				void this.#connect(address, watched);
			}
		}
	}

	#select(): void {
		const selected = this.#endpointsToWatch();
		for (const endpoint of selected) {
			if (!this.#dependencies.hasDirectPath(endpoint)) {
				// A host that is lost ends no connection; its process may be another one when it is back.
				const watched = this.#watched.get(endpoint.address);
				watched?.watch.noteLost();
				watched?.socket?.destroy();
			}
		}

		const addresses = new Set(selected.map(({address}) => address));
		for (const address of this.#watched.keys()) {
			if (!addresses.has(address)) {
				this.#forget(address);
			}
		}

		for (const address of addresses) {
			if (!this.#watched.has(address)) {
				this.#watched.set(address, {watch: new ProcessWatch(), socket: undefined, isConnecting: false});
			}
		}
	}

	/** The endpoints of services with resumable streams and several versions, those of the own data centre first. */
	#endpointsToWatch(): EndpointRecord[] {
		const {configuration: {current}, endpoints, dataCentre, instances} = this.#dependencies;
		const targets = new Set((current?.routes ?? []).filter(({kind}) => kind === 'resumable-stream').flatMap(route => route.targets.map(({service}) => service)));
		const services = new Set([...targets].filter(service => {
			const limit = current?.services.get(service)?.connectionLimit ?? 0;
			return endpoints.hasSeveralVersions(service) && (limit === 0 || limit >= minConnectionsPerInstance * instances());
		}));
		if (services.size === 0) {
			return [];
		}

		const found = endpoints.all().filter(({service}) => services.has(service));
		return [...found.filter(endpoint => endpoint.dataCentre === dataCentre), ...found.filter(endpoint => endpoint.dataCentre !== dataCentre)].slice(0, maxWatches);
	}

	async #connect(address: string, watched: Watched): Promise<void> {
		watched.isConnecting = true;
		const startedAt = this.#now();
		const socket = await connectEndpoint(address);
		watched.isConnecting = false;
		const now = this.#now();
		if (socket === 'reset') {
			watched.watch.noteOpened(now);
			this.#noteClosed(address, watched);
			return;
		}

		if (typeof socket === 'string') {
			watched.watch.noteNotConnected(socket, startedAt, now);
			return;
		}

		if (this.#watched.get(address) !== watched) {
			socket.destroy();
			return;
		}

		watched.socket = socket;
		watched.watch.noteOpened(now);
		let isOpen = true;
		const end = (): void => {
			socket.destroy();
			if (isOpen) {
				isOpen = false;
				watched.socket = undefined;
				this.#noteClosed(address, watched);
			}
		};

		socket.once('end', end).once('error', end).once('close', end);
		// What an endpoint sends before a request has no meaning; a paused connection would not show its end.
		socket.resume();
	}

	#noteClosed(address: string, watched: Watched): void {
		const {endpoints} = this.#dependencies;
		const now = this.#now();
		const [listed] = endpoints.all().filter(endpoint => endpoint.address === address).toSorted((one, other) => other.startedAt - one.startedAt);
		watched.watch.noteClosed(now, listed?.startedAt, process => listed !== undefined && endpoints.appearances.isProcessOf(listed, process));
		if (this.#watched.get(address) === watched && watched.watch.isDue(now)) {
			void this.#connect(address, watched);
		}
	}

	#forget(address: string): void {
		const watched = this.#watched.get(address);
		this.#watched.delete(address);
		watched?.socket?.destroy();
	}

	#now(): number {
		return this.#dependencies.clock.moment().steady;
	}
}
