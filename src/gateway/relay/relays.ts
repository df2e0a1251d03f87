/** Assembles the relays at one instance: its own for the others, those of the others for itself, and the key that they share. */
import {type MomentClock} from '../../ports/moment-clock.js';
import {type TableService} from '../../ports/table-service.js';
import {type EndpointRegistry} from '../endpoints/endpoint-registry.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type Child} from '../../supervisor/supervisor.js';
import {type LocalFollower} from '../coordinator/local-follower.js';
import {type GatewayMetrics} from '../observability/gateway-metrics.js';
import {RelayClient} from './relay-client.js';
import {RelayDirectory} from './relay-directory.js';
import {RelayKey} from './relay-key.js';
import {RelayServer} from './relay-server.js';

export type RelaysDependencies = {
	/** `IP:port` of this instance's relay. */
	address: string;
	dataCentre: string;
	store: Pick<TableService, 'commit'>;
	clock: MomentClock;
	metrics: Pick<GatewayMetrics, 'relayed'>;
	endpoints: Pick<EndpointRegistry, 'all'>;
	/** Returns a random number from 0 up to 1. */
	random: () => number;
	/** How late this process reads its sockets, in milliseconds. */
	lagMilliseconds: () => number;
	isCoordinator: () => boolean;
	isStopping: () => boolean;
	/** Listed endpoints to which this instance has no connection of its own. */
	withoutDirectPath: () => number;
	/** Whether this instance may connect to an endpoint itself, as far as it knows. */
	hasDirectPath: (endpoint: EndpointRecord) => boolean;
	/** Called when this instance could not connect to an endpoint for another one. */
	onUnreachable: (endpoint: EndpointRecord) => void;
};

export class Relays {
	readonly key: RelayKey;
	readonly client: RelayClient;
	/** What the coordinator exchanges with this instance. */
	readonly follower: Pick<LocalFollower, 'relay' | 'wantsRelays' | 'applyRelays'>;
	readonly children: readonly Child[];
	readonly #server: RelayServer;

	constructor(dependencies: RelaysDependencies) {
		const {address, dataCentre, clock, metrics, endpoints, isStopping, withoutDirectPath} = dependencies;
		const directory = new RelayDirectory();
		const key = new RelayKey(dependencies);
		const server = new RelayServer({
			...dependencies,
			endpoints: () => endpoints.all(),
			key: () => isStopping() ? undefined : key.current,
			onOutcome(outcome) {
				metrics.relayed.inc({outcome});
			},
		});
		this.key = key;
		this.client = new RelayClient({...dependencies, directory, key: () => key.current});
		this.children = [key, server];
		this.#server = server;
		this.follower = {
			relay: () => isStopping() || key.current === undefined
				? undefined
				: {
					address, dataCentre, unreachable: withoutDirectPath(), connections: server.connections,
				},
			wantsRelays: () => directory.isDue(withoutDirectPath() > 0, clock.moment().steady),
			applyRelays(relays) {
				directory.update(relays, clock.moment().steady);
			},
		};
	}

	/** Resolves when this instance relays no connection any more; while it stops, it accepts no new ones. */
	async idle(): Promise<void> {
		await this.#server.idle();
	}
}
