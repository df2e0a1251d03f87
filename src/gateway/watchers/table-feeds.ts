/** The followers of the store's tables at one instance, fed by calls to the store or by updates that the reader relays. */
import {type MomentClock, type Moment} from '../../ports/moment-clock.js';
import {type TableFeed} from '../../ports/table-feed.js';
import {weightsLeaseTable} from '../leadership/weights-lease.js';
import {type GatewayContext} from '../gateway-context.js';
import {type GatewayTimings} from '../gateway-settings.js';
import {type StoreSchema} from './store-schema.js';
import {EndpointFeedHandler} from './endpoint-feed-handler.js';
import {FeedFollower} from './feed-follower.js';
import {FeedHandlers} from './feed-handlers.js';
import {type FeedUpdate, type FeedCursor, type FeedHandler} from './feed-update.js';
import {OperatorFeedHandler} from './operator-feed-handler.js';
import {SharedWait} from './shared-wait.js';

export type TableFeedDependencies = {
	store: TableFeed;
	storeSchema: StoreSchema;
	clock: MomentClock;
	random: () => number;
	/** Whether this instance is the reader, which calls the store for the others. */
	isReader: () => boolean;
	/** Whether it becomes the reader when the present one fails. */
	isStandby: () => boolean;
};

type FeedContext = Pick<GatewayContext, 'configuration' | 'endpoints' | 'evacuations' | 'weightTargets' | 'loadingEngines' | 'log' | 'metrics' | 'placement'> & {warmUps: Pick<GatewayContext['warmUps'], 'noteRow'>};

export class TableFeeds {
	readonly followers: readonly FeedFollower[];

	constructor(context: FeedContext, {
		store, storeSchema: schema, clock, random, isReader, isStandby,
	}: TableFeedDependencies, timings: GatewayTimings, crashHandler: FeedHandler) {
		const {feedWaitMilliseconds: waitMilliseconds, readerWaitMilliseconds, maxRelayedAgeMilliseconds} = timings;
		const waits = {waitMilliseconds, readerWaitMilliseconds, maxRelayedAgeMilliseconds};
		const reportWaits = {waitMilliseconds, readerWaitMilliseconds: timings.readerReportWaitMilliseconds, maxRelayedAgeMilliseconds: timings.maxRelayedReportAgeMilliseconds};
		const dependencies = {
			clock, random, isReader, isStandby, log: context.log, sharedWait: new SharedWait(clock),
		};
		this.followers = [
			new FeedFollower(store, {table: schema.operatorTable, ...waits}, new OperatorFeedHandler(context, schema, context.weightTargets), dependencies),
			new FeedFollower(store, {table: schema.endpointTable, ...waits}, new EndpointFeedHandler(context, schema), dependencies),
			new FeedFollower(store, {table: weightsLeaseTable, ...reportWaits}, new FeedHandlers([context.loadingEngines, crashHandler]), dependencies),
		];
	}

	/** The cursors of this instance by table, without the tables that it has not read yet. */
	cursors(): Record<string, FeedCursor> {
		return Object.fromEntries(this.followers.flatMap(({table, cursor}) => cursor === undefined ? [] : [[table, cursor]]));
	}

	/** Returns the updates for an instance with the given cursors. */
	updatesFor(cursors: Record<string, FeedCursor>): FeedUpdate[] {
		return this.followers.flatMap(follower => {
			const cursor = cursors[follower.table];
			const update = cursor === undefined ? undefined : follower.updateFor(cursor);
			return update === undefined ? [] : [update];
		});
	}

	/** Applies the updates that another instance sent in answer to a query of `askedAt`. */
	applyUpdates(updates: readonly FeedUpdate[], queriedAt: Moment): void {
		// Also where the answer has no update of a table: an answer is the first sign of this instance's own lease.
		for (const follower of this.followers) {
			follower.noteRole();
		}

		for (const update of updates) {
			this.followers.find(({table}) => table === update.table)?.applyUpdate(update, queriedAt);
		}
	}
}
