/** The options of a peer node, and the listener for its events. */
import {type ConfigurationKeeper, type FanoutMode} from '../configuration/configuration-fanout.js';
import {type LearnedLoad} from '../knowledge/load-knowledge.js';
import {type ConfigurationSnapshot, type MemberRumour} from '../message/peer-message.js';

/** Is notified of what the node receives from its peers. */
export interface PeerListener {
	loadsLearned(loads: readonly LearnedLoad[]): void;
	/** Brings a snapshot into force if it is newer; returns `false` if it is damaged or old. */
	snapshotOffered(snapshot: ConfigurationSnapshot): boolean;
	memberChanged(rumour: MemberRumour): void;
	endpointsShared(shared: {taken: number; released: number}): void;
}

export type PeerNodeOptions = {
	self: Omit<MemberRumour, 'status'>;
	keeper: ConfigurationKeeper;
	listener: PeerListener;
	fanoutMode: FanoutMode;
	/** The maximum random delay before a query for changes; by default that of the fan-out. */
	askBackoffMilliseconds?: number;
	/** Returns numbers from 0 up to 1, from a seeded generator. */
	random(): number;
};
