/** The platform's table and list for peers in virtual time. They can be down, or unreachable for partitioned peers. */
import {PollSchedule} from '../peer/configuration/poll-schedule.js';
import {seededRandom} from '../peer/random/seeded-random.js';
import {hashOfText} from '../peer/ownership/rendezvous.js';
import {type ConfigurationChange, type ListedInstance} from '../shared/types.js';
import {changeOf} from './bench-changes.js';
import {type VirtualPeer, type VirtualPeers, VirtualConfiguration} from './virtual-peers.js';

const listMilliseconds = 1000;
const pollMilliseconds = 500;

type Poller = {schedule: PollSchedule; nextListAt: number; random: () => number};

export class VirtualPlatform {
	isDown = false;
	/** Time of each read of the table, answered or not. */
	readonly reads: number[] = [];
	readonly listReads: number[] = [];
	readonly #network: VirtualPeers;
	readonly #endpoints: readonly ListedInstance[];
	readonly #changes: ConfigurationChange[] = [];
	readonly #latest = new VirtualConfiguration(() => 0);
	readonly #pollers = new Map<string, Poller>();

	/**
	 * @param network - The peers that read the table and the list.
	 * @param endpoints - The endpoints on the list.
	 */
	constructor(network: VirtualPeers, endpoints: readonly ListedInstance[]) {
		this.#network = network;
		this.#endpoints = endpoints;
		network.onStep = peer => {
			this.#poll(peer);
		};
	}

	/** The latest version in the table. */
	get version(): number {
		return this.#latest.state.version;
	}

	/** Adds a change to the table. */
	accept(): void {
		const change = changeOf(this.#latest.state, this.version);
		this.#latest.offerChange(change);
		this.#changes.push(change);
	}

	/** Returns the maximum number of reads within any second after a time. */
	maxReadsPerSecond(reads: readonly number[], from: number): number {
		const later = reads.filter(at => at >= from);
		return Math.max(0, ...later.map(at => later.filter(other => other >= at && other < at + 1000).length));
	}

	#poll(peer: VirtualPeer): void {
		const {now} = this.#network;
		const poller = this.#pollers.get(peer.listed.name) ?? this.#newPoller(peer.listed.name);
		const isReachable = !this.isDown && peer.partition === '';
		if (now >= poller.nextListAt) {
			poller.nextListAt = now + (listMilliseconds * (1 - (0.2 * poller.random())));
			this.listReads.push(now);
			if (isReachable) {
				peer.node.applyList(this.#list(), now);
			}
		}

		if (poller.schedule.isDue(peer.node.isReader, now)) {
			this.reads.push(now);
			poller.schedule.notePoll(isReachable, now);
			if (isReachable) {
				this.#read(peer);
			}
		}
	}

	#newPoller(name: string): Poller {
		const random = seededRandom(hashOfText(name));
		const poller = {schedule: new PollSchedule(pollMilliseconds, random), nextListAt: 0, random};
		this.#pollers.set(name, poller);
		return poller;
	}

	#read(peer: VirtualPeer): void {
		for (const change of this.#changes.filter(({version}) => version > peer.configuration.state.version)) {
			if (peer.configuration.offerChange(change) === undefined) {
				this.#network.send(peer, peer.node.announceChange(change));
			}
		}
	}

	#list(): ListedInstance[] {
		const live = [...this.#network.peers.values()].filter(({state}) => state !== 'dead');
		return [...live.map(({listed}) => listed), ...this.#endpoints];
	}
}
