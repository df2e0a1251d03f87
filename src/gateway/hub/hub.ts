/**
 * The hub: one instance, by a lease, gathers hints that no instance can have alone, and tells them to all: what the cache
 * stores and the engines hold, and what all instances have under way at each endpoint.
 *
 * Weighed against it: each instance reading each store and engine itself, which stores and engines do not allow (a few
 * calls at a time from all instances together), and telling each other in a mesh, which costs each pair a connection.
 * When the hub dies or is cut off, instances go on with what they know themselves until another one has taken the lease.
 */
import {type CacheStoreControl} from '../../ports/cache-store-control.js';
import {hashOf} from '../../shared/hash-of.js';
import {versionOfSalt} from '../../protocol/parts/cache-salt.js';
import {type Child} from '../../supervisor/supervisor.js';
import {type StoreTraits} from '../../shared/routed-configuration.js';
import {type DutySeat} from '../duty/duty-seat.js';
import {type GatewayContext} from '../gateway-context.js';
import {EngineWatches} from './engine-watches.js';
import {askMilliseconds, type HubClient} from './hub-client.js';
import {engineHolder, type HubFrame} from './hub-messages.js';
import {HubServer, type HubSource} from './hub-server.js';
import {StoreKeeper} from './store-keeper.js';

/** The lease is renewed when less than this is left of a grant. */
const renewMilliseconds = 750;
/** Instances that miss the hub look for it, or take its place, spread over this time. */
const spreadMilliseconds = 600;
/** How long a dialled hub may take to answer before the row is read again. */
const dialMilliseconds = 700;

type HubContext = Pick<GatewayContext, 'clock' | 'configuration' | 'endpoints' | 'log' | 'hubView'>;

/** What the hub is given. */
export type HubParts = {
	instance: string;
	address: string;
	seat: DutySeat;
	client: HubClient;
	control: CacheStoreControl;
};

export class Hub implements Child, HubSource {
	readonly name = 'hub';
	readonly server: HubServer;
	readonly #context: HubContext;
	readonly #parts: HubParts;
	readonly #keepers = new Map<string, StoreKeeper>();
	readonly #engines: EngineWatches;
	#keeping: AbortController | undefined;
	#lookAt = 0;
	#isLeaving = false;

	constructor(context: HubContext, parts: HubParts) {
		this.#context = context;
		this.#parts = parts;
		this.server = new HubServer(parts.address, this);
		this.#engines = new EngineWatches({
			control: parts.control,
			clock: context.clock,
			tell: (engine, change) => {
				this.server.broadcast({kind: 'parts', holder: engineHolder(engine), ...change});
			},
		}, context.log);
		this.#lookAt = this.#now() + (spreadMilliseconds * hashOf(parts.instance) / (2 ** 32));
	}

	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.step();
			await this.#context.clock.sleep(askMilliseconds, signal);
		}

		this.#endKeeping();
		this.#parts.client.close();
	}

	/** Gives the duty back, for good: the process is about to end. */
	async leave(): Promise<void> {
		this.#isLeaving = true;
		this.#endKeeping();
		await this.#parts.seat.release();
	}

	/** Renews the duty or looks for its holder, and asks it. */
	async step(): Promise<void> {
		const {seat, client} = this.#parts;
		const isNeeded = !this.#isLeaving && (this.#stores().length > 0 || this.#engineServices().size > 0);
		if (isNeeded && this.isHub() && seat.left() < renewMilliseconds) {
			await seat.seek();
		}

		if (this.isHub()) {
			this.#keep();
		} else {
			this.#endKeeping();
		}

		if (client.isConnected) {
			client.ask();
		} else if (isNeeded && this.#now() >= this.#lookAt) {
			await this.#look();
		}
	}

	isHub(): boolean {
		return this.#parts.seat.left() > 0;
	}

	engineClock(): number | undefined {
		return [...this.#keepers.values()].map(({engineClock}) => engineClock).find(clock => clock !== undefined);
	}

	openStores(): string[] {
		return [...this.#keepers].filter(([, {isOpen}]) => isOpen).map(([name]) => name);
	}

	knownEngines(): string[] {
		return this.#engines.known();
	}

	snapshot(): Array<HubFrame & {kind: 'parts'}> {
		const ofStores = [...this.#keepers].map(([holder, {ledger}]) => ({holder, added: ledger.offered()}));
		const ofEngines = this.#engines.snapshot().map(({engine, parts}) => ({holder: engineHolder(engine), added: parts}));
		return [...ofStores, ...ofEngines].map(({holder, added}) => ({
			kind: 'parts', holder, added, removed: [],
		}));
	}

	takeUses(keys: readonly string[]): void {
		const now = this.#now();
		for (const {ledger} of this.#keepers.values()) {
			for (const key of keys) {
				ledger.use(key, now);
			}
		}
	}

	/** Reads the row: takes the duty if it is free, else dials its holder. */
	async #look(): Promise<void> {
		const {seat, client, instance, address} = this.#parts;
		this.#lookAt = this.#now() + dialMilliseconds;
		await seat.seek();
		if (this.isHub()) {
			client.dial(address);
			return;
		}

		const {seen} = seat;
		if (seen !== undefined && seen.address !== '' && seen.holder !== instance) {
			client.dial(seen.address);
			client.ask();
		}
	}

	/** Starts to keep stores that are not kept yet, and to watch the engines of the list. */
	#keep(): void {
		this.#keeping ??= new AbortController();
		const services = this.#engineServices();
		this.#engines.keep(this.#context.endpoints.all().filter(({service, state}) => state === 'ready' && services.has(service)));
		for (const [name, store] of this.#stores()) {
			if (!this.#keepers.has(name)) {
				const keeper = new StoreKeeper({name, connectionLimit: 0}, store, {
					control: this.#parts.control,
					clock: this.#context.clock,
					log: this.#context.log,
					mayAct: () => this.isHub(),
					isDead: salt => this.#isDead(salt),
					tell: (kept, change) => {
						this.server.broadcast({kind: 'parts', holder: kept, ...change});
					},
				});
				this.#keepers.set(name, keeper);
				void this.#runKeeper(name, keeper, this.#keeping.signal);
			}
		}
	}

	/** A keeper that fails is forgotten, and the next step starts a new one, which trusts nothing that the old one told. */
	async #runKeeper(name: string, keeper: StoreKeeper, signal: AbortSignal): Promise<void> {
		try {
			await keeper.run(signal);
		} catch (error) {
			this.#context.log.record('fault', {child: `store-keeper ${name}`, error: String(error)});
			this.server.broadcast({kind: 'parts', holder: name, ...keeper.ledger.close(this.#now())});
			this.#keepers.delete(name);
		}
	}

	#endKeeping(): void {
		if (this.#keeping !== undefined) {
			this.#keeping.abort();
			this.#keeping = undefined;
			this.#keepers.clear();
			this.#engines.close();
			this.server.dropAll();
		}
	}

	#stores(): Array<[name: string, store: StoreTraits]> {
		const services = this.#context.configuration.current?.services.values() ?? [];
		return [...services].flatMap(({name, store}) => store?.isManaged ? [[name, store] as [string, StoreTraits]] : []);
	}

	/** Whether all engines of the list have newer weights than a salt names; without engines nothing is known. */
	#isDead(salt: string): boolean {
		const version = versionOfSalt(salt);
		const versions = this.#context.endpoints.all().flatMap(({weightVersions}) => [...weightVersions.values()]);
		return version !== undefined && versions.length > 0 && versions.every(live => live > version);
	}

	/** Services of model engines. */
	#engineServices(): Set<string> {
		const services = this.#context.configuration.current?.services.values() ?? [];
		return new Set([...services].filter(({engine}) => engine !== undefined).map(({name}) => name));
	}

	#now(): number {
		return this.#context.clock.moment().steady;
	}
}
