/** What the hub and its followers say to each other, as frames over one connection each. */

import {type EndpointLoad} from '../../decision/placement/endpoint-load.js';
import {type FeedNews, type FeedPlace} from '../watchers/feed-news.js';

/** A connection between the hub and a follower on which no whole frame came for so long is closed, by either side. */
export const idleTimeoutMilliseconds = 1200;

/** A load as it is sent: requests, held tokens, oldest wait, last heard, then unread tokens by rank. */
export type PackedLoad = number[];
export const oldestWaitIndex = 2;
export const heardAgoIndex = 3;

/** Stands for "never heard" and longer: a day in milliseconds. */
const neverHeard = 86_400_000;

export function packLoad({requests, heldTokens, oldestWaitMilliseconds, heardAgoMilliseconds, unreadTokens}: EndpointLoad): PackedLoad {
	return [requests, heldTokens, Math.round(oldestWaitMilliseconds), Math.round(Math.min(neverHeard, heardAgoMilliseconds)), ...unreadTokens];
}

/** Packs the loads of several endpoints by name. */
export function packLoads(loads: ReadonlyMap<string, EndpointLoad>): Record<string, PackedLoad> {
	return Object.fromEntries([...loads].map(([endpoint, load]) => [endpoint, packLoad(load)]));
}

export function unpackLoad([requests = 0, heldTokens = 0, oldestWaitMilliseconds = 0, heardAgoMilliseconds = neverHeard, ...unreadTokens]: PackedLoad): EndpointLoad {
	return {
		requests, heldTokens, oldestWaitMilliseconds, heardAgoMilliseconds, unreadTokens,
	};
}

/** The name of an engine among the holders of parts; stores go by the name of their service, which has no such prefix. */
export function engineHolder(engine: string): string {
	return `engine:${engine}`;
}

/** What a follower wants to know before it places a request. The answer is bounded, whatever the number of endpoints. */
export type PlaceQuestion = {
	/** Endpoints that it would choose from. */
	endpoints: string[];
	/** The parts of the prompt as `salt|id`, from its start; one run of them for each salt. */
	keys: string[];
	/** Parts in one run. */
	partCount: number;
};

/** A question about nothing but the state of the hub. */
export const noQuestion: PlaceQuestion = {endpoints: [], keys: [], partCount: 0};

/** Tokens of the parts that a holder keeps, by their index in the question. */
export type KeptParts = Array<[index: number, tokens: number]>;

/** Which of the parts in question are kept where. */
export type PartsAnswer = {
	/** By store, or engine as `engineHolder` names it. A holder that is told of and not named here keeps none. */
	kept: Array<[holder: string, parts: KeptParts]>;
	/** Engines that are told of: those in question, and some that keep the deepest parts. */
	engines: string[];
	/** Those of them whose parts are not known now. */
	unknown: string[];
};

/** What a follower says of itself. */
type FollowerNews = {
	instance: string;
	/** Cores that its machine gives it. */
	cores: number;
	/** Stored parts used since the last word, as `salt|id`. */
	uses: string[];
	/** What this instance has under way, by endpoint. */
	loads: Record<string, PackedLoad>;
};

/** What a follower sends. */
export type FollowerFrame
	= | FollowerNews & {
		kind: 'ask';
		number: number;
		about: PlaceQuestion;
		/** Where it stands in the tables that it follows, by table. */
		places: Record<string, FeedPlace>;
	}
	| FollowerNews & {kind: 'tell'};

/** What the hub sends. */
export type HubFrame = {
	kind: 'answer';
	number: number;
	/** The engines' clock, in milliseconds; absent while it is not known. */
	clock?: number;
	/** Whether a deputy answers, which knows nothing of stores. */
	isDeputy: boolean;
	/** Where the hub stands. */
	dataCentre: string;
	/** Whether the hub has lost its lease: it tells hints still, but nothing of stores, and another one may be found. */
	isLapsed: boolean;
	/** Stores that may be saved to and fetched from, and the tokens that they hold. */
	open: Array<[store: string, heldTokens: number]>;
	/** What all other instances have under way at the endpoints in question and those where the asker has something itself. */
	loads: Record<string, PackedLoad>;
	parts: PartsAnswer;
	/** What changed in the tables that the asker follows. */
	tables: FeedNews[];
	/** Cores of the largest machine that the hub knows. */
	mostCores: number;
	/** How many instances the hub hears from. */
	instances: number;
};
