/** The coordinator and its standby at one instance, which is a follower of both and may hold either lease. */
import {type CacheStoreControl} from '../../ports/cache-store-control.js';
import {type ClockedTable} from '../../ports/clocked-table.js';
import {type TableService} from '../../ports/table-service.js';
import {type Child} from '../../supervisor/supervisor.js';
import {LeaderElection} from '../leadership/leader-election.js';
import {type CoordinatorShares} from '../shares/coordinator-shares.js';
import {type FeedUpdate, type FeedCursor} from '../watchers/feed-update.js';
import {Coordinator, type CoordinatorContext} from './coordinator.js';
import {type CoordinatorRole} from './coordinator-messages.js';
import {CoordinatorClient} from './coordinator-client.js';
import {type CoordinatorView} from './coordinator-view.js';
import {type LocalFollower} from './local-follower.js';
import {PeerUpdateSources} from './peer-update-sources.js';
import {type CrashReportWriter} from './report-relay.js';

/** Table of leases that no instance follows. */
const coordinatorLeaseTable = 'leases';
/**
 * The coordinator's lease may be shorter than that of orders to engines: its orders to free blocks are void after a fraction of
 * a second. While a failed coordinator holds its lease, no store is used, and prompts are prefilled again.
 */
const leaseMilliseconds = 1500;
/** How long a grant lasts: a table that is unavailable for less goes unnoticed. */
const grantMilliseconds = 1500;

/** Settings and dependencies of both roles. */
export type CoordinatorPairDependencies = {
	store: TableService & ClockedTable;
	control: CacheStoreControl;
	view: CoordinatorView;
	/** Where other instances connect, `IP:port` each. */
	addresses: Record<CoordinatorRole, string>;
	/** The local instance, as both clients report it. */
	follower: Omit<LocalFollower, 'takeUses' | 'closed' | 'lacksSlots'>;
	/** Computes the shares of workspaces; absent where the settings enable none. */
	shares?: CoordinatorShares | undefined;
	/** Writes the reports of crashes of all followers. */
	reportWriter: CrashReportWriter;
	/** Table changes of this instance for a follower at the given positions. */
	tableUpdates: (cursors: Record<string, FeedCursor>) => FeedUpdate[];
};

export class CoordinatorPair {
	/** Exchanges state through the coordinator, or through the standby while the coordinator does not answer. */
	readonly peerUpdates: PeerUpdateSources;
	readonly #clients: Record<CoordinatorRole, CoordinatorClient>;
	readonly #coordinators: Record<CoordinatorRole, Coordinator>;

	constructor(context: CoordinatorContext, dependencies: CoordinatorPairDependencies) {
		const {view, follower} = dependencies;
		const onFault = (error: unknown): void => {
			context.log.record('fault', {child: 'coordinator-client', error: String(error)});
		};

		this.#clients = {
			hub: new CoordinatorClient(view, {
				...follower,
				takeUses: () => view.takeUses(),
				lacksSlots: () => false,
				closed: () => {
					view.reset();
					// The standby may grant this instance's slots from now on.
					this.#clients['hub-deputy'].report();
				},
			}, context.clock, {onFault}),
			'hub-deputy': new CoordinatorClient(view, {
				...follower,
				// Only the coordinator manages stores and needs to know which blocks were used, and it alone computes shares.
				takeUses: () => [],
				shares: undefined,
				lacksSlots: () => !this.#clients.hub.grantsSlots,
				closed() {
					// The coordinator's answers stay valid.
				},
			}, context.clock, {onFault}),
		};
		this.peerUpdates = new PeerUpdateSources(this.#clients.hub, this.#clients['hub-deputy'], () => context.clock.moment().steady);
		this.#coordinators = {
			hub: this.#create('hub', context, dependencies),
			'hub-deputy': this.#create('hub-deputy', context, dependencies),
		};
	}

	/** Whether this instance is the coordinator. */
	get isCoordinator(): boolean {
		return this.#coordinators.hub.holdsLease();
	}

	/** Whether this instance is the standby. */
	get isStandby(): boolean {
		return this.#coordinators['hub-deputy'].holdsLease();
	}

	/**
	 * Whether this instance reads the tables for all: as the coordinator, or as the standby while the coordinator does not
	 * answer.
	 */
	get isReader(): boolean {
		return this.isCoordinator || (this.isStandby && !this.#clients.hub.isResponsive);
	}

	/** Whether the coordinator answers this instance. */
	get hasCoordinator(): boolean {
		return this.#clients.hub.isResponsive;
	}

	/** How many instances report to the coordinator; 0 before it has answered. */
	get instances(): number {
		return this.#clients.hub.instances;
	}

	children(): Child[] {
		return Object.values(this.#coordinators).flatMap(coordinator => [coordinator, coordinator.server]);
	}

	/** Releases both leases and does not acquire them again. */
	async resign(): Promise<void> {
		await Promise.all(Object.values(this.#coordinators).map(async coordinator => coordinator.resign()));
	}

	#create(role: CoordinatorRole, context: CoordinatorContext, {
		store, control, addresses, follower, shares, reportWriter, tableUpdates,
	}: CoordinatorPairDependencies): Coordinator {
		const {instance, cores} = follower;
		const other: CoordinatorRole = role === 'hub' ? 'hub-deputy' : 'hub';
		const address = addresses[role];
		const election = new LeaderElection({
			table: coordinatorLeaseTable, lease: role, instance, address, leaseMilliseconds, grantMilliseconds, acquisitionDelayMilliseconds: (): number => coordinator.acquisitionDelayMilliseconds(),
		}, {store, clock: context.clock, log: context.log});
		const coordinator: Coordinator = new Coordinator(context, {
			role,
			instance,
			address,
			election,
			client: this.#clients[role],
			control,
			cores,
			shares: role === 'hub' ? shares : undefined,
			reportWriter: role === 'hub' ? reportWriter : undefined,
			tableUpdates,
			// Called for the first time while the other role does not exist yet.
			holdsOtherLease: () => (this.#coordinators as Record<CoordinatorRole, Coordinator> | undefined)?.[other].holdsLease() ?? false,
			isOtherUp: () => this.#clients[other].isResponsive,
			otherDataCentre: () => this.#clients[other].dataCentre,
		});
		return coordinator;
	}
}
