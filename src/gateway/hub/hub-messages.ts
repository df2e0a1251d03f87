/** What the hub and its followers say to each other, as frames over one connection each. */

import {type EndpointLoad} from '../../decision/placement/endpoint-load.js';
import {type PartsChange} from '../../protocol/parts/store-ledger.js';

/** A connection between the hub and a follower on which no whole frame came for so long is closed, by either side. */
export const idleTimeoutMilliseconds = 1200;

/** A load as it is sent: requests, held tokens, oldest wait, last heard, then unread tokens by rank. */
export type PackedLoad = number[];

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

/** What a follower says of itself. */
type FollowerNews = {
	instance: string;
	/** Stored parts used since the last word, as `salt|id`. */
	uses: string[];
	/** What this instance has under way, by endpoint. */
	loads: Record<string, PackedLoad>;
};

/** What a follower sends. The answer to a question proves that all that the hub knew by then has been told. */
export type FollowerFrame
	= | FollowerNews & {kind: 'ask'; number: number}
		| FollowerNews & {kind: 'tell'};

/** What the hub sends. */
export type HubFrame
	= | {
		kind: 'answer';
		number: number;
		/** The engines' clock, in milliseconds; absent while it is not known. */
		clock?: number;
		/** Whether the hub has lost its lease: it tells hints still, but nothing of stores, and another one may be found. */
		isLapsed: boolean;
		/** Stores that may be saved to and fetched from. */
		open: string[];
		/** Engines whose parts are told and up to date. */
		engines: string[];
		/** What all other instances have under way, by endpoint. */
		loads: Record<string, PackedLoad>;
	}
	| PartsChange & {
		kind: 'parts';
		/** A store, or an engine as `engineHolder` names it. */
		holder: string;
	};
