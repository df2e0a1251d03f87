/** The hub and its deputy at one instance: it follows both, and may be either of them. */
import {type CacheStoreControl} from '../../ports/cache-store-control.js';
import {type ClockedTable} from '../../ports/clocked-table.js';
import {type TableService} from '../../ports/table-service.js';
import {type Child} from '../../supervisor/supervisor.js';
import {DutySeat} from '../duty/duty-seat.js';
import {type FeedNews, type FeedPlace} from '../watchers/feed-news.js';
import {Hub, type HubContext, type HubRole} from './hub.js';
import {type FollowerSelf, HubClient} from './hub-client.js';
import {type HubView} from './hub-view.js';
import {NewsSources} from './news-sources.js';

/** Rows of leases that nobody follows. */
const leaseTable = 'leases';
/**
 * The hub's lease may be shorter than that of orders to engines: what it orders stores to free is void behind a fraction of a
 * second. While a hub that died holds its lease, no store is used, and prompts are read again.
 */
const leaseMilliseconds = 1500;
/** For how long the hub acts on a grant: a table that is away for less is not noticed. */
const actingMilliseconds = 1500;

/** What the two work with. */
export type HubPairTools = {
	store: TableService & ClockedTable;
	control: CacheStoreControl;
	view: HubView;
	/** Where other instances connect, `IP:port` each. */
	addresses: Record<HubRole, string>;
	/** What this instance tells of itself. */
	self: Omit<FollowerSelf, 'takeUses' | 'closed'>;
	/** What another instance that stands at some places in the tables hears of this one. */
	tableNews: (places: Record<string, FeedPlace>) => FeedNews[];
};

export class HubPair {
	/** Both as one source of news. */
	readonly news: NewsSources;
	readonly #clients: Record<HubRole, HubClient>;
	readonly #hubs: Record<HubRole, Hub>;

	constructor(context: HubContext, tools: HubPairTools) {
		const {view, self} = tools;
		this.#clients = {
			hub: new HubClient(view, {
				...self,
				takeUses: () => view.takeUses(),
				closed() {
					view.reset();
				},
			}, context.clock),
			'hub-deputy': new HubClient(view, {
				...self,
				// The stores that were used are the hub's.
				takeUses: () => [],
				closed() {
					// What the hub told holds on.
				},
			}, context.clock),
		};
		this.news = new NewsSources([this.#clients.hub, this.#clients['hub-deputy']]);
		this.#hubs = {
			hub: this.#create('hub', context, tools),
			'hub-deputy': this.#create('hub-deputy', context, tools),
		};
	}

	/** Whether this instance is the hub. */
	get isHub(): boolean {
		return this.#hubs.hub.isHub();
	}

	/** Whether this instance is the deputy. */
	get isDeputy(): boolean {
		return this.#hubs['hub-deputy'].isHub();
	}

	/** Whether this instance reads the tables for all: as the hub, or as its deputy while the hub does not answer. */
	get isReader(): boolean {
		return this.isHub || (this.isDeputy && !this.#clients.hub.isResponsive);
	}

	/** How many instances the hub hears from; 0 before it answered. */
	get instances(): number {
		return this.#clients.hub.instances;
	}

	children(): Child[] {
		return Object.values(this.#hubs).flatMap(hub => [hub, hub.server]);
	}

	/** Gives back both duties, for good. */
	async leave(): Promise<void> {
		await Promise.all(Object.values(this.#hubs).map(async hub => hub.leave()));
	}

	#create(role: HubRole, context: HubContext, {store, control, addresses, self, tableNews}: HubPairTools): Hub {
		const {instance, cores} = self;
		const other: HubRole = role === 'hub' ? 'hub-deputy' : 'hub';
		const address = addresses[role];
		const seat = new DutySeat({
			table: leaseTable, duty: role, instance, address, leaseMilliseconds, actingMilliseconds, patienceMilliseconds: (): number => hub.patienceMilliseconds(),
		}, {store, clock: context.clock, log: context.log});
		const hub: Hub = new Hub(context, {
			role,
			instance,
			address,
			seat,
			client: this.#clients[role],
			control,
			cores,
			tableNews,
			// Asked for the first time while the other one is not made yet.
			hasOtherDuty: () => (this.#hubs as Record<HubRole, Hub> | undefined)?.[other].isHub() ?? false,
			doesOtherAnswer: () => this.#clients[other].isResponsive,
			otherDataCentre: () => this.#clients[other].dataCentre,
		});
		return hub;
	}
}
