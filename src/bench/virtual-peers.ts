/**
 * Peers in virtual time: `PeerNode`s whose messages are passed in memory, with instances that can be killed, paused and
 * partitioned. Only the links are simulated; each node runs the code of the entry. Messages are encoded to count bytes.
 */
import {type ReceivedLoad} from '../peer/load/load-gossip.js';
import {stateOfSnapshot} from '../peer/configuration/configuration-snapshot.js';
import {queryBackoffMilliseconds, type ReplicatedConfiguration, type FanoutMode} from '../peer/configuration/configuration-fanout.js';
import {encodeMessage} from '../peer/message/message-codec.js';
import {type MemberUpdate, type PeerMessage} from '../peer/message/peer-message.js';
import {PeerNode} from '../peer/node/peer-node.js';
import {type OutgoingMessage} from '../peer/node/peer-outbox.js';
import {applyChange} from '../protocol/configuration/apply-change.js';
import {type ConfigurationState, emptyConfiguration} from '../protocol/configuration/configuration-state.js';
import {type ConfigurationChange, type ListedInstance} from '../shared/types.js';
import {seededRandom} from '../peer/random/seeded-random.js';

const tickMilliseconds = 100;

/** One peer, with its links, the loads that it received, its membership events and its traffic. */
export type VirtualPeer = {
	listed: ListedInstance;
	node: PeerNode;
	configuration: VirtualConfiguration;
	state: 'running' | 'paused' | 'dead';
	partition: string;
	links: Set<string>;
	receivedLoads: Map<string, ReceivedLoad>;
	events: Array<{at: number; text: string}>;
	bytesOut: number;
	bytesIn: number;
	messagesOut: number;
	nextTickAt: number;
};

/** A configuration in memory that records when each version came into force. */
export class VirtualConfiguration implements ReplicatedConfiguration {
	state: ConfigurationState = emptyConfiguration;
	readonly inForceAt = new Map<number, number>();
	readonly #now: () => number;

	constructor(now: () => number) {
		this.#now = now;
	}

	offerChange(change: ConfigurationChange): ReturnType<ReplicatedConfiguration['offerChange']> {
		return applyChange(this.state, change).caseOf({
			Left: failure => failure,
			Right: state => {
				this.apply(state);
				return undefined;
			},
		});
	}

	apply(state: ConfigurationState): void {
		this.state = state;
		this.inForceAt.set(state.version, this.#now());
	}
}

type InFlight = {dueAt: number; from: string; to: string; message: PeerMessage};

export class VirtualPeers {
	now = 1_000_000;
	readonly peers = new Map<string, VirtualPeer>();
	/** Share of messages that are lost, from 0 to 1. */
	loss = 0;
	latencyMilliseconds = 1;
	/** Called for each running peer in each step, in place of the instance's own polling of the platform. */
	onStep: ((peer: VirtualPeer) => void) | undefined;
	/** Length of a step; longer steps make long runs faster. */
	stepMilliseconds = 5;
	readonly #random: () => number;
	readonly #mode: FanoutMode;
	readonly #backoffMilliseconds: number;
	#inFlight: InFlight[] = [];

	/**
	 * @param seed - Seed of all random choices.
	 * @param mode - How configuration changes are distributed.
	 * @param backoffMilliseconds - Maximum random delay before a query.
	 */
	constructor(seed: number, mode: FanoutMode = 'announce', backoffMilliseconds = queryBackoffMilliseconds) {
		this.#backoffMilliseconds = backoffMilliseconds;
		this.#random = seededRandom(seed);
		this.#mode = mode;
	}

	/** Starts a peer; it has no other members until it receives the list. */
	start(name: string, dataCentre: string): VirtualPeer {
		const listed: ListedInstance = {
			name, role: 'entry', dataCentre, service: '', address: name, peerAddress: name, state: 'live',
		};
		const configuration = new VirtualConfiguration(() => this.now);
		const receivedLoads = new Map<string, ReceivedLoad>();
		const events: VirtualPeer['events'] = [];
		const note = (text: string): void => {
			events.push({at: this.now, text});
		};

		const node = new PeerNode({
			self: {
				name, dataCentre, peerAddress: name, incarnation: this.now,
			},
			configuration,
			listener: {
				loadsReceived(loads) {
					for (const load of loads) {
						receivedLoads.set(load.name, load);
					}
				},
				snapshotOffered(snapshot) {
					const state = stateOfSnapshot(snapshot);
					const isNewer = state !== undefined && state.version > configuration.state.version;
					if (isNewer) {
						configuration.apply(state);
					}

					return isNewer;
				},
				memberChanged(update) {
					note(`${update.name} ${update.status}`);
				},
				ownershipChanged({acquired, released}) {
					note(`took ${acquired}, released ${released}`);
				},
			},
			random: seededRandom(Math.floor(this.#random() * 1e9)),
			fanoutMode: this.#mode,
			queryBackoffMilliseconds: this.#backoffMilliseconds,
		}, this.now);
		const peer: VirtualPeer = {
			listed, node, configuration, state: 'running', partition: '', links: new Set(), receivedLoads, events, bytesOut: 0, bytesIn: 0, messagesOut: 0, nextTickAt: this.now,
		};
		this.peers.set(name, peer);
		return peer;
	}

	/** Starts peers and passes the same list to all of them. */
	startAll(names: ReadonlyArray<{name: string; dataCentre: string}>, endpoints: readonly ListedInstance[] = []): VirtualPeer[] {
		const started = names.map(({name, dataCentre}) => this.start(name, dataCentre));
		this.announce(endpoints);
		return started;
	}

	/** Passes the list of the peers that were not killed, and of endpoints, to all running peers. */
	announce(endpoints: readonly ListedInstance[] = []): void {
		const list = [...[...this.peers.values()].filter(({state}) => state !== 'dead').map(({listed}) => listed), ...endpoints];
		for (const {node, state} of this.peers.values()) {
			if (state === 'running') {
				node.applyList(list, this.now);
			}
		}
	}

	running(): VirtualPeer[] {
		return [...this.peers.values()].filter(({state}) => state === 'running');
	}

	/** Kills a peer: it sends no further message, and its links break. */
	kill(name: string): void {
		this.peers.get(name)!.state = 'dead';
		this.#dropLinks(name);
	}

	/** Partitions peers: links between peers with different marks end, and no new ones are established. */
	cut(names: readonly string[], mark: string): void {
		for (const name of names) {
			this.peers.get(name)!.partition = mark;
		}

		for (const [name, peer] of this.peers) {
			for (const other of peer.links) {
				if (!this.#canReach(name, other)) {
					peer.links.delete(other);
					peer.node.linkDown(other);
				}
			}
		}
	}

	/** Sends messages of a peer immediately, outside its tick; those without a link are dropped. */
	send(peer: VirtualPeer, outgoing: readonly OutgoingMessage[]): void {
		for (const {to, message} of outgoing) {
			if (peer.links.has(to)) {
				peer.bytesOut += encodeMessage(message).length;
				peer.messagesOut++;
				if (this.#random() >= this.loss) {
					this.#inFlight.push({
						dueAt: this.now + this.latencyMilliseconds, from: peer.listed.name, to, message,
					});
				}
			}
		}
	}

	/** Advances the virtual time step by step. */
	run(milliseconds: number): void {
		const end = this.now + milliseconds;
		while (this.now < end) {
			this.now += this.stepMilliseconds;
			this.#deliver();
			for (const peer of this.running()) {
				if (this.now >= peer.nextTickAt || this.now >= peer.node.dueAt) {
					peer.nextTickAt = this.now + tickMilliseconds;
					this.#connect(peer);
					this.send(peer, peer.node.tick(this.now));
				}

				this.onStep?.(peer);
			}
		}
	}

	/** Runs until a condition holds; returns the milliseconds that it took, or `undefined` after the limit. */
	runUntil(holds: () => boolean, limitMilliseconds: number): number | undefined {
		const startedAt = this.now;
		while (this.now - startedAt < limitMilliseconds) {
			if (holds()) {
				return this.now - startedAt;
			}

			this.run(this.stepMilliseconds);
		}

		return holds() ? this.now - startedAt : undefined;
	}

	#deliver(): void {
		while (this.#inFlight.some(({dueAt}) => dueAt <= this.now)) {
			const due = this.#inFlight.filter(({dueAt}) => dueAt <= this.now);
			this.#inFlight = this.#inFlight.filter(({dueAt}) => dueAt > this.now);
			for (const {from, to, message, dueAt} of due) {
				const peer = this.peers.get(to)!;
				if (peer.state === 'paused') {
					this.#inFlight.push({
						dueAt: this.now + this.stepMilliseconds, from, to, message,
					});
				} else if (peer.state === 'running' && this.#canReach(from, to)) {
					peer.bytesIn += encodeMessage(message).length;
					const outgoing = peer.node.handleMessage(from, message, Math.min(dueAt, this.now));
					this.send(peer, outgoing);
				}
			}
		}
	}

	#connect(peer: VirtualPeer): void {
		for (const {name} of peer.node.wantedLinks()) {
			const other = this.peers.get(name);
			if (other?.state === 'running' && !peer.links.has(name) && this.#canReach(peer.listed.name, name)) {
				peer.links.add(name);
				other.links.add(peer.listed.name);
				const own: MemberUpdate = peer.node.membership.self;
				this.send(peer, peer.node.linkUp(other.node.membership.self, this.now));
				this.send(other, other.node.linkUp(own, this.now));
			}
		}
	}

	#dropLinks(name: string): void {
		for (const peer of this.peers.values()) {
			if (peer.links.delete(name) && peer.state === 'running') {
				peer.node.linkDown(name);
			}
		}

		this.peers.get(name)!.links.clear();
	}

	#canReach(from: string, to: string): boolean {
		return this.peers.get(from)!.partition === this.peers.get(to)!.partition;
	}
}
