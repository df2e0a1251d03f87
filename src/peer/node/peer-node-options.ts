/** What an instance among its peers is told, and what it tells its surroundings. */
import {type ConfigurationKeeper, type FanoutMode} from '../configuration/configuration-fanout.js';
import {type LearnedLoad} from '../knowledge/load-knowledge.js';
import {type ConfigurationSnapshot, type MemberRumour} from '../message/peer-message.js';

/** What the instance tells its surroundings. */
export interface PeerListener {
	loadsLearned(loads: readonly LearnedLoad[]): void;
	/** Brings a snapshot into force if it is newer; false if it is damaged or old. */
	snapshotOffered(snapshot: ConfigurationSnapshot): boolean;
	memberChanged(rumour: MemberRumour): void;
	endpointsShared(shared: {taken: number; released: number}): void;
}

export type PeerNodeOptions = {
	self: Omit<MemberRumour, 'status'>;
	keeper: ConfigurationKeeper;
	listener: PeerListener;
	fanoutMode: FanoutMode;
	/** The longest random wait before an ask; the usual one unless given. */
	askBackoffMilliseconds?: number;
	/** Gives numbers from 0 up to 1, from a seeded generator. */
	random(): number;
};
