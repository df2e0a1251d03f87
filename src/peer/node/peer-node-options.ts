/** The options of a peer node, and the listener for its events. */
import {type ReplicatedConfiguration, type FanoutMode} from '../configuration/configuration-fanout.js';
import {type ReceivedLoad} from '../load/load-gossip.js';
import {type ConfigurationSnapshot, type MemberUpdate} from '../message/peer-message.js';

/** Is notified of what the node receives from its peers. */
export interface PeerListener {
	loadsReceived(loads: readonly ReceivedLoad[]): void;
	/** Brings a snapshot into force if it is newer; returns `false` if it is damaged or old. */
	snapshotOffered(snapshot: ConfigurationSnapshot): boolean;
	memberChanged(update: MemberUpdate): void;
	ownershipChanged(ownership: {acquired: number; released: number}): void;
}

export type PeerNodeOptions = {
	self: Omit<MemberUpdate, 'status'>;
	configuration: ReplicatedConfiguration;
	listener: PeerListener;
	fanoutMode: FanoutMode;
	/** The maximum random delay before a query for changes; by default that of the fan-out. */
	queryBackoffMilliseconds?: number;
	/** Returns numbers from 0 up to 1, from a seeded generator. */
	random(): number;
};
