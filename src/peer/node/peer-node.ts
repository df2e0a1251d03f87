/**
 * One node of the gossip between peers, which combines membership, the fan-out of configuration changes and the exchange of
 * loads. It does no input or output and has no clock: it takes messages and the present time and returns the messages to
 * send, which `src/peer/link` or a test delivers.
 */
import {type LoadReport} from '../../ports/model-engine.js';
import {type ConfigurationChange, type ListedInstance} from '../../shared/types.js';
import {ConfigurationFanout} from '../configuration/configuration-fanout.js';
import {LoadKnowledge} from '../knowledge/load-knowledge.js';
import {Membership, rumourOf} from '../membership/membership.js';
import {type Overlay, overlayOf} from '../membership/overlay.js';
import {type MemberRumour, type PeerMessage} from '../message/peer-message.js';
import {bestMembers, hashOfText, ownerOf} from '../sharing/rendezvous.js';
import {GoneRetry} from './gone-retry.js';
import {type PeerNodeOptions} from './peer-node-options.js';
import {type Outgoing, PeerOutbox} from './peer-outbox.js';
import {RumourBatch} from './rumour-batch.js';
import {ViewPace} from './view-pace.js';

/** Time between two heartbeats. */
export const heartbeatMilliseconds = 1000;

/** How many instances of a data centre poll the table for configuration changes. */
export const readersPerDataCentre = 2;

const heartbeatJitter = 0.1;
const readerKey = hashOfText('configuration-reader');

export class PeerNode {
	readonly membership: Membership;
	readonly fanout: ConfigurationFanout;
	readonly knowledge: LoadKnowledge;
	readonly #options: PeerNodeOptions;
	readonly #outbox = new PeerOutbox();
	readonly #rumours = new RumourBatch();
	readonly #viewPace: ViewPace;
	readonly #goneRetry: GoneRetry;
	#overlay: {revision: number; overlay: Overlay} | undefined;
	#sharedRevision = -1;
	#nextHeartbeatAt: number;

	constructor(options: PeerNodeOptions, now: number) {
		this.#options = options;
		this.#viewPace = new ViewPace(() => options.random());
		this.#goneRetry = new GoneRetry(() => options.random());
		this.membership = new Membership(options.self, now);
		this.fanout = new ConfigurationFanout(options.keeper, options.random, options.askBackoffMilliseconds);
		this.knowledge = new LoadKnowledge(options.self.name);
		// Without a random first delay, instances that start at the same time would always send at the same time.
		this.#nextHeartbeatAt = now + (options.random() * heartbeatMilliseconds);
	}

	get overlay(): Overlay {
		const {revision} = this.membership;
		if (this.#overlay?.revision !== revision) {
			const overlay = overlayOf(this.#options.self.name, this.membership.ownLive(), this.membership.allLive());
			this.#overlay = {revision, overlay};
		}

		return this.#overlay.overlay;
	}

	/** Whether this instance is one of those that poll the table for configuration changes. */
	get isReader(): boolean {
		return bestMembers(readerKey, this.membership.ownLive(), readersPerDataCentre)
			.some(({name}) => name === this.#options.self.name);
	}

	/**
	 * Whether this instance owns a key among the live instances of its data centre; a key is a shard of a directory or an
	 * endpoint to reconcile. While views differ, two instances may own a key, or none for some seconds. Work that must not be
	 * done twice needs a fencing number or a claim as well.
	 */
	owns(key: string): boolean {
		return this.ownerOf(key) === this.#options.self.name;
	}

	/** The name of the instance that owns a key, among the live ones of the data centre. */
	ownerOf(key: string): string {
		return ownerOf(hashOfText(key), this.membership.ownLive())?.name ?? this.#options.self.name;
	}

	/** The peers to which links are wanted, with their addresses. */
	wantedLinks(): Array<{name: string; peerAddress: string}> {
		const retried = this.membership.member(this.#goneRetry.name);
		return [...this.overlay.neighbours.values(), ...(retried === undefined ? [] : [retried])];
	}

	/** The latest time at which `tick` has to be called again. */
	get dueAt(): number {
		return Math.min(this.fanout.dueAt, this.#nextHeartbeatAt, this.#rumours.dueAt);
	}

	/** Applies the platform's list of instances. */
	takeList(instances: readonly ListedInstance[], now: number): void {
		this.membership.takeList(instances, now);
		this.knowledge.takeEndpoints(instances);
		this.#sharedRevision = -1;
	}

	/** Handles a new link, whichever side dialled; both sides send a heartbeat and publish full load summaries next. */
	linkUp(peer: MemberRumour, now: number): Outgoing[] {
		this.#takeRumours([peer], now);
		this.membership.heard(peer.name, peer.incarnation, now);
		this.#outbox.linkUp(peer.name);
		this.#outbox.send(peer.name, this.#heartbeat());
		this.knowledge.tellWhole();
		return this.#outbox.take();
	}

	/** Handles the end of a link. */
	linkDown(peer: string): void {
		this.#outbox.linkDown(peer);
		this.fanout.forget(peer);
		this.#viewPace.forget(peer);
	}

	/** Handles a message of a peer. */
	takeMessage(from: string, message: PeerMessage, now: number): Outgoing[] {
		switch (message.kind) {
			case 'hello':
			case 'proof': {
				break;
			}

			case 'heartbeat': {
				this.#takeHeartbeat(from, message, now);
				break;
			}

			case 'view': {
				this.#takeRumours(message.members, now);
				break;
			}

			case 'ask-changes': {
				const answer = this.fanout.answer(message.after);
				if (answer !== undefined) {
					this.#outbox.send(from, answer);
				}

				break;
			}

			case 'changes': {
				this.#announce(this.fanout.takeChanges(from, message.changes, now), from);
				break;
			}

			case 'snapshot': {
				this.#options.listener.snapshotOffered(message.snapshot);
				this.fanout.takeChanges(from, [], now);
				break;
			}

			case 'loads': {
				const {learned, passOn} = this.knowledge.takeLoads(message, now);
				this.#options.listener.loadsLearned(learned);
				if (passOn !== undefined) {
					this.#outbox.sendAll(passOn, from);
				}

				break;
			}
		}

		return this.#outbox.take();
	}

	/** Announces to the peers a change that came into force here through the table or an operator. */
	changeInForce(change: ConfigurationChange): Outgoing[] {
		this.#announce([change], '');
		return this.#outbox.take();
	}

	/** Handles a load report that this instance polled from an endpoint. */
	takeReport(name: string, report: LoadReport, now: number): Outgoing[] {
		const message = this.knowledge.takeReport(name, report, now);
		if (message !== undefined) {
			this.#outbox.sendAll(message);
		}

		return this.#outbox.take();
	}

	/** Announces the departure of this instance, so that its shards move to others at once. */
	leave(): Outgoing[] {
		this.#outbox.sendAll({...this.#heartbeat(), rumours: [{...this.membership.self, status: 'left'}]});
		return this.#outbox.take();
	}

	/** Does what is due at a time. */
	tick(now: number): Outgoing[] {
		this.#spread(this.membership.tick(new Set(this.overlay.neighbours.keys()), now), now);
		const rumours = this.#rumours.takeDue(now);
		if (rumours.length > 0) {
			this.#outbox.sendAll({...this.#heartbeat(), rumours});
		}

		if (now >= this.#nextHeartbeatAt) {
			this.#outbox.sendAll(this.#heartbeat());
			this.#nextHeartbeatAt = now + (heartbeatMilliseconds * (1 - (heartbeatJitter * this.#options.random())));
		}

		const ask = this.fanout.tick(now);
		if (ask !== undefined) {
			this.#outbox.send(ask.peer, {kind: 'ask-changes', after: ask.after});
		}

		this.#tell(now);
		this.#goneRetry.tick(() => this.membership.goneButListed(), now);
		this.#shareOut();
		return this.#outbox.take();
	}

	#takeHeartbeat(from: string, message: Extract<PeerMessage, {kind: 'heartbeat'}>, now: number): void {
		this.membership.heard(from, message.incarnation, now);
		this.#takeRumours(message.rumours ?? [], now);
		this.fanout.takeAnnouncement(from, message.configurationVersion, now);
		const member = this.membership.member(from);
		if (member?.status === 'gone') {
			this.#outbox.send(from, {...this.#heartbeat(), rumours: [rumourOf(member)]});
		} else if (member?.dataCentre === this.#options.self.dataCentre && message.viewDigest !== this.membership.viewDigest && this.#viewPace.takeTurn(from, now)) {
			this.#outbox.send(from, {kind: 'view', members: this.membership.view()});
		}
	}

	#takeRumours(rumours: readonly MemberRumour[], now: number): void {
		const news = rumours
			.map(rumour => this.membership.takeRumour(rumour, now))
			.filter(rumour => rumour !== undefined);
		this.#spread(news, now);
	}

	#spread(rumours: readonly MemberRumour[], now: number): void {
		for (const rumour of rumours) {
			this.#options.listener.memberChanged(rumour);
		}

		for (const rumour of rumours) {
			if (rumour.dataCentre === this.#options.self.dataCentre) {
				this.#rumours.add(rumour, now);
			}
		}
	}

	#announce(changes: readonly ConfigurationChange[], from: string): void {
		if (changes.length === 0) {
			return;
		}

		for (const change of changes) {
			this.fanout.keep(change);
		}

		const newest = changes.at(-1)!.version;
		const message: PeerMessage = this.#options.fanoutMode === 'push' ? {kind: 'changes', changes: [...changes]} : this.#heartbeat();
		for (const name of this.#outbox.linked) {
			if (name !== from && this.fanout.announcedBy(name) < newest) {
				this.#outbox.send(name, message);
			}
		}
	}

	#tell(now: number): void {
		const {cell} = this.overlay;
		const message = this.knowledge.tell(cell.size, now);
		if (message !== undefined) {
			for (const name of cell.keys()) {
				this.#outbox.send(name, message);
			}
		}
	}

	#shareOut(): void {
		const {revision} = this.membership;
		if (this.#sharedRevision !== revision) {
			this.#sharedRevision = revision;
			const shared = this.knowledge.shareOut(this.membership.allLive());
			if (shared.taken + shared.released > 0) {
				this.#options.listener.endpointsShared(shared);
			}
		}
	}

	#heartbeat(): Extract<PeerMessage, {kind: 'heartbeat'}> {
		return {
			kind: 'heartbeat',
			incarnation: this.membership.self.incarnation,
			viewDigest: this.membership.viewDigest,
			configurationVersion: this.#options.keeper.state.version,
		};
	}
}
