/** The followers of the store's tables at one instance, fed by calls to the store or by updates that the reader relays. */
import {type MomentClock, type Moment} from '../../ports/moment-clock.js';
import {type TableFeed} from '../../ports/table-feed.js';
import {weightsLeaseTable} from '../leadership/weights-lease.js';
import {type GatewayContext} from '../gateway-context.js';
import {type GatewayTimings} from '../gateway-settings.js';
import {type Catalog} from './catalog.js';
import {EndpointReader} from './endpoint-reader.js';
import {FeedFollower} from './feed-follower.js';
import {type FeedNews, type FeedPlace} from './feed-news.js';
import {OperatorReader} from './operator-reader.js';

/** Hints may be late, so the calls of a feed that carries only hints wait long; this keeps their number small. */
const hintWaitMilliseconds = 20_000;
/** The same for the reader. */
const relayedHintWaitMilliseconds = 1000;
/** An instance that has received no relayed hints for this long calls the store for them itself. */
const hintLapseMilliseconds = 4000;

export type TableFeedTools = {
	store: TableFeed;
	catalog: Catalog;
	clock: MomentClock;
	random: () => number;
	/** Whether this instance is the reader, which calls the store for the others. */
	isReader: () => boolean;
	/** Whether it becomes the reader when the present one fails. */
	isStandby: () => boolean;
};

type FeedContext = Pick<GatewayContext, 'configuration' | 'endpoints' | 'goals' | 'loadingEngines' | 'log' | 'metrics' | 'placement'>;

export class TableFeeds {
	readonly followers: readonly FeedFollower[];

	constructor(context: FeedContext, {
		store, catalog, clock, random, isReader, isStandby,
	}: TableFeedTools, timings: GatewayTimings) {
		const {feedWaitMilliseconds: waitMilliseconds, readerWaitMilliseconds, relayLapseMilliseconds} = timings;
		const waits = {waitMilliseconds, readerWaitMilliseconds, relayLapseMilliseconds};
		const hintWaits = {waitMilliseconds: hintWaitMilliseconds, readerWaitMilliseconds: relayedHintWaitMilliseconds, relayLapseMilliseconds: hintLapseMilliseconds};
		const tools = {
			clock, random, isReader, isStandby, log: context.log,
		};
		this.followers = [
			new FeedFollower(store, {table: catalog.operatorTable, ...waits}, new OperatorReader(context, catalog, context.goals), tools),
			new FeedFollower(store, {table: catalog.endpointTable, ...waits}, new EndpointReader(context, catalog), tools),
			new FeedFollower(store, {table: weightsLeaseTable, ...hintWaits}, context.loadingEngines, tools),
		];
	}

	/** The cursors of this instance by table, without the tables that it has not read yet. */
	places(): Record<string, FeedPlace> {
		return Object.fromEntries(this.followers.flatMap(({table, place}) => place === undefined ? [] : [[table, place]]));
	}

	/** Returns the updates for an instance with the given cursors. */
	newsFor(places: Record<string, FeedPlace>): FeedNews[] {
		return this.followers.flatMap(follower => {
			const place = places[follower.table];
			const news = place === undefined ? undefined : follower.newsFor(place);
			return news === undefined ? [] : [news];
		});
	}

	/** Applies the updates that another instance sent in answer to a query of `askedAt`. */
	takeNews(news: readonly FeedNews[], askedAt: Moment): void {
		for (const one of news) {
			this.followers.find(({table}) => table === one.table)?.takeRelayed(one, askedAt);
		}
	}
}
