/** The local instance as a follower of a coordinator. */
import {type PaceReport} from '../../decision/pace/pace-report.js';
import {type Moment} from '../../ports/moment-clock.js';
import {type BrittleReport} from '../limits/brittle-services.js';
import {type WorkspaceShares} from '../shares/workspace-shares.js';
import {type RelayReport} from '../relay/relay-messages.js';
import {type StreamPeerList, type StreamPeerQuery} from '../streams/stream-peer-list.js';
import {type FeedUpdate, type FeedCursor} from '../watchers/feed-update.js';
import {type PackedLoad, type PlacementQuery} from './coordinator-messages.js';
import {type KeyedReport} from './report-relay.js';

/** The local instance: what the client reports about it, and where the client delivers what it receives. */
export type LocalFollower = {
	instance: string;
	/** CPU cores that its machine gives it. */
	cores: number;
	/** Counts its calls, and takes which services are congested; absent towards the standby, and where shares are not enabled. */
	shares?: Pick<WorkspaceShares, 'takeDemand' | 'applyCrowded'> | undefined;
	/** Its requests in flight, and the slots that it holds. */
	loads(): Record<string, PackedLoad>;
	/** Holds a slot that was granted until its request is sent. */
	holdSlot(endpoint: string): void;
	/** Returns the stored blocks used since the last call, and clears them. */
	takeUses(): string[];
	/** Called when the connection has ended. */
	closed(): void;
	/** What it has seen of brittle services, and where the client delivers what others have seen. */
	brittle(): BrittleReport[];
	applyBrittle(reports: readonly BrittleReport[]): void;
	/** Whether no coordinator grants it slots, so that it uses only those that the standby grants. */
	lacksSlots(): boolean;
	/** Its reports of crashes that the store has not confirmed, and where the client delivers those of others. */
	unconfirmedCrashes(): KeyedReport[];
	applyCrashes(reports: readonly KeyedReport[]): void;
	/** The paces that it has read since a position, and the new position; 0 is the first one. */
	pacesAfter(position: number): {paces: PaceReport[]; position: number};
	/** Takes paces that other instances have read, with their ages at a time of the steady clock. */
	applyPaces(paces: readonly PaceReport[], now: number): void;
	/** This instance's relay; absent while others must not use it. */
	relay(): RelayReport | undefined;
	/** Whether it needs a new list of relays. */
	wantsRelays(): boolean;
	applyRelays(relays: readonly RelayReport[]): void;
	/** Where this instance answers questions about streams, and the list of such instances that it has. */
	streamPeers(): StreamPeerQuery | undefined;
	applyStreamPeers(list: StreamPeerList): void;
	/** Endpoints whose loads come with the regular queries, so that a request to them needs no query of its own. */
	watchedEndpoints(): string[];
	/** The position in each table that it follows. */
	cursors(): Record<string, FeedCursor>;
	/** Applies table changes from the answer to a query that was sent at `queriedAt`. */
	applyTableUpdates(updates: readonly FeedUpdate[], queriedAt: Moment): void;
};

/** Exchanges state with the other instances, so that it is fresh at the time of a decision. */
export interface PeerUpdates {
	/** Queries the state of the other instances, and waits for the answer for a short time, of `maxMilliseconds` at most. */
	refresh(query: PlacementQuery, maxMilliseconds: number): Promise<void>;
	/** Reports this instance's requests in flight. */
	report(): void;
}
