/** The platform's table and list for peers in virtual time. They can be down, or unreachable for partitioned peers. */
import {PollSchedule} from '../peer/configuration/poll-schedule.js';
import {seededRandom} from '../peer/random/seeded-random.js';
import {hashOfText} from '../peer/ownership/rendezvous.js';
import {type ConfigurationChange, type ListedInstance} from '../shared/types.js';
import {changeOf} from './bench-changes.js';
import {type VirtualPeer, type VirtualPeers, VirtualKeeper} from './virtual-peers.js';

const listMilliseconds = 1000;
const pollMilliseconds = 500;

type Watcher = {schedule: PollSchedule; nextListAt: number; random: () => number};

export class VirtualPlatform {
	isDown = false;
	/** Time of each read of the table, answered or not. */
	readonly reads: number[] = [];
	readonly listReads: number[] = [];
	readonly #network: VirtualPeers;
	readonly #endpoints: readonly ListedInstance[];
	readonly #changes: ConfigurationChange[] = [];
	readonly #newest = new VirtualKeeper(() => 0);
	readonly #watchers = new Map<string, Watcher>();

	/**
	 * @param network - The peers that read the table and the list.
	 * @param endpoints - The endpoints on the list.
	 */
	constructor(network: VirtualPeers, endpoints: readonly ListedInstance[]) {
		this.#network = network;
		this.#endpoints = endpoints;
		network.onStep = peer => {
			this.#watch(peer);
		};
	}

	/** The latest version in the table. */
	get version(): number {
		return this.#newest.state.version;
	}

	/** Adds a change to the table. */
	accept(): void {
		const change = changeOf(this.#newest.state, this.version);
		this.#newest.offerChange(change);
		this.#changes.push(change);
	}

	/** Returns the maximum number of reads within any second after a time. */
	mostReadsPerSecond(reads: readonly number[], from: number): number {
		const later = reads.filter(at => at >= from);
		return Math.max(0, ...later.map(at => later.filter(other => other >= at && other < at + 1000).length));
	}

	#watch(peer: VirtualPeer): void {
		const {now} = this.#network;
		const watcher = this.#watchers.get(peer.listed.name) ?? this.#newWatcher(peer.listed.name);
		const isReached = !this.isDown && peer.cut === '';
		if (now >= watcher.nextListAt) {
			watcher.nextListAt = now + (listMilliseconds * (1 - (0.2 * watcher.random())));
			this.listReads.push(now);
			if (isReached) {
				peer.node.applyList(this.#list(), now);
			}
		}

		if (watcher.schedule.isDue(peer.node.isReader, now)) {
			this.reads.push(now);
			watcher.schedule.notePoll(isReached, now);
			if (isReached) {
				this.#read(peer);
			}
		}
	}

	#newWatcher(name: string): Watcher {
		const random = seededRandom(hashOfText(name));
		const watcher = {schedule: new PollSchedule(pollMilliseconds, random), nextListAt: 0, random};
		this.#watchers.set(name, watcher);
		return watcher;
	}

	#read(peer: VirtualPeer): void {
		for (const change of this.#changes.filter(({version}) => version > peer.keeper.state.version)) {
			if (peer.keeper.offerChange(change) === undefined) {
				this.#network.carry(peer, peer.node.announceChange(change));
			}
		}
	}

	#list(): ListedInstance[] {
		const live = [...this.#network.peers.values()].filter(({state}) => state !== 'dead');
		return [...live.map(({listed}) => listed), ...this.#endpoints];
	}
}
