/** The messages between the coordinator and its followers, sent as frames over one connection for each follower. */

import {type PackedPaces, type PaceReport} from '../../decision/pace/pace-report.js';
import {type EndpointLoad} from '../../decision/placement/endpoint-load.js';
import {type CrowdedService, type ServiceDemand} from '../../decision/shares/service-demand.js';
import {type BrittleReport} from '../limits/brittle-services.js';
import {type RelayReport} from '../relay/relay-messages.js';
import {type StreamPeerList, type StreamPeerQuery} from '../streams/stream-peer-list.js';
import {type FeedUpdate, type FeedCursor} from '../watchers/feed-update.js';
import {type KeyedReport} from './report-relay.js';

/**
 * Which of the two leases: the holder of `hub` serves hints and manages the stores, that of `hub-deputy`, the standby, serves
 * hints while the coordinator does not answer.
 */
export type CoordinatorRole = 'hub' | 'hub-deputy';

/** Either side closes a connection on which no complete frame has arrived for this long. */
export const idleTimeoutMilliseconds = 1200;

/**
 * A load as it is sent: requests, held tokens, longest wait, time since the endpoint's last byte, then pending prefill tokens
 * by rank.
 */
export type PackedLoad = number[];
export const oldestWaitIndex = 2;
export const lastByteAgoIndex = 3;

/** One day: an upper bound of the time since the last byte, which also stands for an endpoint that has never sent one. */
const maxLastByteAgoMilliseconds = 86_400_000;

export function packLoad({requests, heldTokens, oldestWaitMilliseconds, lastByteAgoMilliseconds, pendingPrefillTokens}: EndpointLoad): PackedLoad {
	return [requests, heldTokens, Math.round(oldestWaitMilliseconds), Math.round(Math.min(maxLastByteAgoMilliseconds, lastByteAgoMilliseconds)), ...pendingPrefillTokens];
}

/** Packs loads by the name of their endpoint. */
export function packLoads(loads: ReadonlyMap<string, EndpointLoad>): Record<string, PackedLoad> {
	return Object.fromEntries([...loads].map(([endpoint, load]) => [endpoint, packLoad(load)]));
}

export function unpackLoad([requests = 0, heldTokens = 0, oldestWaitMilliseconds = 0, lastByteAgoMilliseconds = maxLastByteAgoMilliseconds, ...pendingPrefillTokens]: PackedLoad): EndpointLoad {
	return {
		requests, heldTokens, oldestWaitMilliseconds, lastByteAgoMilliseconds, pendingPrefillTokens,
	};
}

/** The name of an engine as a holder of blocks. Cache stores go by the name of their service, which has no such prefix. */
export function engineHolder(engine: string): string {
	return `engine:${engine}`;
}

/** What a follower queries before it places a request. The size of the answer is bounded, whatever the number of endpoints. */
export type PlacementQuery = {
	/** Candidates for the request. */
	endpoints: string[];
	/** The blocks of the prompt as `salt|id`, from its start; one run of them for each salt. */
	keys: string[];
	/** Number of blocks in one run. */
	partCount: number;
};

/** A query for the shared state only, without endpoints and blocks. */
export const emptyQuery: PlacementQuery = {endpoints: [], keys: [], partCount: 0};

/** The blocks that a holder has cached: their index in the query, and their tokens. */
export type CachedBlocks = Array<[index: number, tokens: number]>;

/** Which of the queried blocks are cached where. */
export type BlocksAnswer = {
	/**
	 * By holder: a store, or an engine as `engineHolder` names it. A covered holder that is missing here has none of the
	 * blocks.
	 */
	kept: Array<[holder: string, parts: CachedBlocks]>;
	/** Engines that the answer covers: the queried ones, and some that hold the deepest blocks. */
	engines: string[];
	/** Those of them whose cached blocks are unknown at present. */
	unknown: string[];
};

/** Why a request needs a permit: the endpoint has named a limit, or it is warming up. */
export type PermitKind = 'limit' | 'warm-up';

/** A question for one request to an endpoint that takes only so many requests a second. */
export type PermitQuery = {
	/** Absent for a limit. */
	kind?: PermitKind;
	/** Identifies the incarnation of the endpoint. */
	incarnation: string;
	/** Permits that may accumulate while nobody asks; absent for the number that suits a limit. */
	maxUnused?: number;
	/** `null` reports that an answer has named no limit any more. */
	limitPerSecond: number | null;
	/**
	 * How long ago the asking instance received the last answer that named the limit, or sent the request whose answer named
	 * none.
	 */
	answeredMilliseconds: number;
};

/** The answer to it. `unlimited`: another instance has seen since that the limit has ended. */
export type PermitAnswer = 'granted' | 'denied' | 'unlimited';

/** What a follower reports about itself. */
type FollowerReport = {
	instance: string;
	/** CPU cores that its machine gives it. */
	cores: number;
	/** Stored blocks that it has used since its last frame, as `salt|id`. */
	uses: string[];
	/** Its requests in flight, by endpoint. */
	loads: Record<string, PackedLoad>;
	/** What it has seen of services whose endpoints are or were brittle; absent where it has seen none. */
	brittle?: BrittleReport[];
	/** Its reports of crashes that the store has not confirmed and that it has not sent over this connection; absent without any. */
	crashes?: KeyedReport[];
	/** The paces that it has read in answers of endpoints since its last frame over this connection; absent without any. */
	paces?: PaceReport[];
	/** Its calls of plain services since its last frame to the coordinator; absent without any, and where shares are not enabled. */
	demand?: ServiceDemand[];
	/** Number of the last query whose answer it has received. */
	answered?: number;
	/** Whether its loads include the slots that it was granted and has not used yet; absent in reports of earlier releases. */
	countsHeldSlots?: boolean;
	/** Whether the coordinator grants it no slots, so that it uses only those that the standby grants. */
	lacksSlots?: boolean;
	/** Its relay; absent while others must not use it. */
	relay?: RelayReport;
};

/** A frame that a follower sends. */
export type FollowerFrame
	= | FollowerReport & {
		kind: 'ask';
		number: number;
		/** When it was sent, in milliseconds of the follower's steady clock; absent in queries of earlier releases. */
		sentAt?: number;
		about: PlacementQuery;
		/** Its position in each table that it follows. */
		places: Record<string, FeedCursor>;
		/** An endpoint with a limit that it asks to send one request to. */
		permit?: PermitQuery;
		/** An endpoint of a brittle service that it asks to send one request to, and the slots there. */
		slot?: {endpoint: string; slots: number};
		/** Whether it asks which relays there are. */
		wantsRelays?: boolean;
		/** Where it answers questions about streams, and which list of such instances it has; absent while it asks for none. */
		streamPeers?: StreamPeerQuery;
	}
	| FollowerReport & {kind: 'tell'};

/** A frame that the coordinator sends. */
export type CoordinatorFrame = {
	kind: 'answer';
	number: number;
	/** The engines' clock in milliseconds; absent while it is unknown. */
	clock?: number;
	/** Whether the standby answers, which knows nothing about the stores. */
	isDeputy: boolean;
	/** The coordinator's data centre. */
	dataCentre: string;
	/**
	 * Whether the coordinator's lease has lapsed. It still serves hints, but no stores once another coordinator may hold the
	 * lease.
	 */
	isLapsed: boolean;
	/** Stores that blocks may be saved to and fetched from, and the tokens that they hold. */
	open: Array<[store: string, heldTokens: number]>;
	/** The load of all other instances, at the queried endpoints and at those where the follower has requests itself. */
	loads: Record<string, PackedLoad>;
	parts: BlocksAnswer;
	/** Changes in the tables that the follower follows. */
	tables: FeedUpdate[];
	/** CPU cores of the largest machine that the coordinator knows. */
	mostCores: number;
	/** How many instances report to the coordinator. */
	instances: number;
	/** Whether the permit that was asked for is granted; absent if none was, or if the lease has lapsed. */
	permit?: PermitAnswer;
	/** Whether slots can be granted at present; absent in answers of earlier releases. */
	grantsSlots?: boolean;
	/** Whether the slot that was asked for is granted; absent if none was, or if none can be granted at present. */
	isSlotGranted?: boolean;
	/** The latest that any instance has seen of services whose endpoints are or were brittle. */
	brittle?: BrittleReport[];
	/** Reports of crashes that the coordinator received since its last answer; absent without any. */
	crashes?: KeyedReport[];
	/**
	 * The paces that other instances have read and that are young enough to matter, by the index of the endpoint in the query's
	 * endpoints followed by `parts.engines`; absent without any.
	 */
	paces?: PackedPaces;
	/** Services that are congested, or of which a workspace requests more than its ceiling; absent without any. */
	crowded?: CrowdedService[];
	/** Relays of other instances; absent if it did not ask for them. */
	relays?: RelayReport[];
	/** The instances of its data centre that answer questions about streams; absent if it did not ask for them. */
	streamPeers?: StreamPeerList;
};
