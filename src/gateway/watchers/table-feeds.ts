/** The followers of the store's tables of one instance, which it reads itself or hears of from the instance that reads for all. */
import {type MomentClock, type Moment} from '../../ports/moment-clock.js';
import {type TableFeed} from '../../ports/table-feed.js';
import {dutyTable} from '../duty/weights-duty.js';
import {type GatewayContext} from '../gateway-context.js';
import {type GatewayTimings} from '../gateway-settings.js';
import {type Catalog} from './catalog.js';
import {EndpointReader} from './endpoint-reader.js';
import {FeedFollower} from './feed-follower.js';
import {type FeedNews, type FeedPlace} from './feed-news.js';
import {OperatorReader} from './operator-reader.js';

/** Hints may be late: a feed that brings nothing else waits long, to cost few calls. */
const hintWaitMilliseconds = 20_000;
/** The same, where another instance reads for this one. */
const relayedHintWaitMilliseconds = 1000;
/** Without the instance that reads for all, an instance asks for hints itself behind this time. */
const hintLapseMilliseconds = 4000;

/** What the feeds work with. */
export type TableFeedTools = {
	store: TableFeed;
	catalog: Catalog;
	clock: MomentClock;
	random: () => number;
	/** Whether this instance reads for the others. */
	isReader: () => boolean;
	/** Whether it does so as soon as the one that reads now is gone. */
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
			new FeedFollower(store, {table: dutyTable, ...hintWaits}, context.loadingEngines, tools),
		];
	}

	/** Where this instance stands, by table; without those that it has not read yet. */
	places(): Record<string, FeedPlace> {
		return Object.fromEntries(this.followers.flatMap(({table, place}) => place === undefined ? [] : [[table, place]]));
	}

	/** What an instance that stands at these places hears of this one. */
	newsFor(places: Record<string, FeedPlace>): FeedNews[] {
		return this.followers.flatMap(follower => {
			const place = places[follower.table];
			const news = place === undefined ? undefined : follower.newsFor(place);
			return news === undefined ? [] : [news];
		});
	}

	/** Takes what another instance tells, in answer to a question that was sent at `askedAt`. */
	takeNews(news: readonly FeedNews[], askedAt: Moment): void {
		for (const one of news) {
			this.followers.find(({table}) => table === one.table)?.takeRelayed(one, askedAt);
		}
	}
}
