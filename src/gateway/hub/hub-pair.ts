/** The coordinator and its standby at one instance, which is a follower of both and may hold either lease. */
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

/** Table of leases that no instance follows. */
const leaseTable = 'leases';
/**
 * The coordinator's lease may be shorter than that of orders to engines: its orders to free blocks are void after a fraction of
 * a second. While a failed coordinator holds its lease, no store is used, and prompts are prefilled again.
 */
const leaseMilliseconds = 1500;
/** How long a grant lasts: a table that is unavailable for less goes unnoticed. */
const actingMilliseconds = 1500;

/** Settings and dependencies of both roles. */
export type HubPairTools = {
	store: TableService & ClockedTable;
	control: CacheStoreControl;
	view: HubView;
	/** Where other instances connect, `IP:port` each. */
	addresses: Record<HubRole, string>;
	/** The local instance, as both clients report it. */
	self: Omit<FollowerSelf, 'takeUses' | 'closed'>;
	/** Table changes of this instance for a follower at the given positions. */
	tableNews: (places: Record<string, FeedPlace>) => FeedNews[];
};

export class HubPair {
	/** Exchanges state through the coordinator, or through the standby while the coordinator does not answer. */
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
				// Only the coordinator manages stores and needs to know which blocks were used.
				takeUses: () => [],
				closed() {
					// The coordinator's answers stay valid.
				},
			}, context.clock),
		};
		this.news = new NewsSources([this.#clients.hub, this.#clients['hub-deputy']]);
		this.#hubs = {
			hub: this.#create('hub', context, tools),
			'hub-deputy': this.#create('hub-deputy', context, tools),
		};
	}

	/** Whether this instance is the coordinator. */
	get isHub(): boolean {
		return this.#hubs.hub.isHub();
	}

	/** Whether this instance is the standby. */
	get isDeputy(): boolean {
		return this.#hubs['hub-deputy'].isHub();
	}

	/**
	 * Whether this instance reads the tables for all: as the coordinator, or as the standby while the coordinator does not
	 * answer.
	 */
	get isReader(): boolean {
		return this.isHub || (this.isDeputy && !this.#clients.hub.isResponsive);
	}

	/** How many instances report to the coordinator; 0 before it has answered. */
	get instances(): number {
		return this.#clients.hub.instances;
	}

	children(): Child[] {
		return Object.values(this.#hubs).flatMap(hub => [hub, hub.server]);
	}

	/** Releases both leases and does not acquire them again. */
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
			// Called for the first time while the other role does not exist yet.
			hasOtherDuty: () => (this.#hubs as Record<HubRole, Hub> | undefined)?.[other].isHub() ?? false,
			doesOtherAnswer: () => this.#clients[other].isResponsive,
			otherDataCentre: () => this.#clients[other].dataCentre,
		});
		return hub;
	}
}
