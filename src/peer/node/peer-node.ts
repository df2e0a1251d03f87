/**
 * One node of the gossip between peers, which combines membership, the fan-out of configuration changes and the exchange of
 * loads. It does no input or output and has no clock: it takes messages and the present time and returns the messages to
 * send, which `src/peer/link` or a test delivers.
 */
import {type LoadReport} from '../../ports/model-engine.js';
import {type ConfigurationChange, type ListedInstance} from '../../shared/types.js';
import {ConfigurationFanout} from '../configuration/configuration-fanout.js';
import {LoadGossip} from '../load/load-gossip.js';
import {Membership, memberUpdateOf} from '../membership/membership.js';
import {type Overlay, overlayOf} from '../membership/overlay.js';
import {type MemberUpdate, type PeerMessage} from '../message/peer-message.js';
import {bestMembers, hashOfText, ownerOf} from '../ownership/rendezvous.js';
import {FailedMemberRetry} from './failed-member-retry.js';
import {type PeerNodeOptions} from './peer-node-options.js';
import {type OutgoingMessage, PeerOutbox} from './peer-outbox.js';
import {GossipBatch} from './gossip-batch.js';
import {ViewRateLimiter} from './view-rate-limiter.js';

/** Time between two heartbeats. */
export const heartbeatMilliseconds = 1000;

/** How many instances of a data centre poll the table for configuration changes. */
export const readersPerDataCentre = 2;

const heartbeatJitter = 0.1;
const readerKey = hashOfText('configuration-reader');

export class PeerNode {
	readonly membership: Membership;
	readonly fanout: ConfigurationFanout;
	readonly loadGossip: LoadGossip;
	readonly #options: PeerNodeOptions;
	readonly #outbox = new PeerOutbox();
	readonly #gossip = new GossipBatch();
	readonly #viewRateLimiter: ViewRateLimiter;
	readonly #failedMemberRetry: FailedMemberRetry;
	#overlay: {revision: number; overlay: Overlay} | undefined;
	#assignedRevision = -1;
	#nextHeartbeatAt: number;

	constructor(options: PeerNodeOptions, now: number) {
		this.#options = options;
		this.#viewRateLimiter = new ViewRateLimiter(() => options.random());
		this.#failedMemberRetry = new FailedMemberRetry(() => options.random());
		this.membership = new Membership(options.self, now);
		this.fanout = new ConfigurationFanout(options.configuration, options.random, options.queryBackoffMilliseconds);
		this.loadGossip = new LoadGossip(options.self.name);
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
		const retried = this.membership.member(this.#failedMemberRetry.name);
		return [...this.overlay.neighbours.values(), ...(retried === undefined ? [] : [retried])];
	}

	/** The latest time at which `tick` has to be called again. */
	get dueAt(): number {
		return Math.min(this.fanout.dueAt, this.#nextHeartbeatAt, this.#gossip.dueAt);
	}

	/** Applies the platform's list of instances. */
	applyList(instances: readonly ListedInstance[], now: number): void {
		this.membership.applyList(instances, now);
		this.loadGossip.setEndpoints(instances);
		this.#assignedRevision = -1;
	}

	/** Handles a new link, whichever side dialled; both sides send a heartbeat and publish full load summaries next. */
	linkUp(peer: MemberUpdate, now: number): OutgoingMessage[] {
		this.#applyUpdates([peer], now);
		this.membership.observe(peer.name, peer.incarnation, now);
		this.#outbox.linkUp(peer.name);
		this.#outbox.send(peer.name, this.#heartbeat());
		this.loadGossip.publishInFull();
		return this.#outbox.flush();
	}

	/** Handles the end of a link. */
	linkDown(peer: string): void {
		this.#outbox.linkDown(peer);
		this.fanout.forget(peer);
		this.#viewRateLimiter.forget(peer);
	}

	/** Handles a message of a peer. */
	handleMessage(from: string, message: PeerMessage, now: number): OutgoingMessage[] {
		switch (message.kind) {
			case 'hello':
			case 'proof': {
				break;
			}

			case 'heartbeat': {
				this.#handleHeartbeat(from, message, now);
				break;
			}

			case 'view': {
				this.#applyUpdates(message.members, now);
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
				this.#announceChanges(this.fanout.applyChanges(from, message.changes, now), from);
				break;
			}

			case 'snapshot': {
				this.#options.listener.snapshotOffered(message.snapshot);
				this.fanout.applyChanges(from, [], now);
				break;
			}

			case 'loads': {
				const {learned, forward: forwarded} = this.loadGossip.handleLoads(message, now);
				this.#options.listener.loadsReceived(learned);
				if (forwarded !== undefined) {
					this.#outbox.sendAll(forwarded, from);
				}

				break;
			}
		}

		return this.#outbox.flush();
	}

	/** Announces to the peers a change that came into force here through the table or an operator. */
	announceChange(change: ConfigurationChange): OutgoingMessage[] {
		this.#announceChanges([change], '');
		return this.#outbox.flush();
	}

	/** Handles a load report that this instance polled from an endpoint. */
	handleReport(name: string, report: LoadReport, now: number): OutgoingMessage[] {
		const message = this.loadGossip.handleReport(name, report, now);
		if (message !== undefined) {
			this.#outbox.sendAll(message);
		}

		return this.#outbox.flush();
	}

	/** Announces the departure of this instance, so that its shards move to others at once. */
	leave(): OutgoingMessage[] {
		this.#outbox.sendAll({...this.#heartbeat(), rumours: [{...this.membership.self, status: 'left'}]});
		return this.#outbox.flush();
	}

	/** Does what is due at a time. */
	tick(now: number): OutgoingMessage[] {
		this.#spreadUpdates(this.membership.tick(new Set(this.overlay.neighbours.keys()), now), now);
		const updates = this.#gossip.takeDue(now);
		if (updates.length > 0) {
			this.#outbox.sendAll({...this.#heartbeat(), rumours: updates});
		}

		if (now >= this.#nextHeartbeatAt) {
			this.#outbox.sendAll(this.#heartbeat());
			this.#nextHeartbeatAt = now + (heartbeatMilliseconds * (1 - (heartbeatJitter * this.#options.random())));
		}

		const query = this.fanout.tick(now);
		if (query !== undefined) {
			this.#outbox.send(query.peer, {kind: 'ask-changes', after: query.after});
		}

		this.#publishLoads(now);
		this.#failedMemberRetry.tick(() => this.membership.failedButListed(), now);
		this.#assignOwners();
		return this.#outbox.flush();
	}

	#handleHeartbeat(from: string, message: Extract<PeerMessage, {kind: 'heartbeat'}>, now: number): void {
		this.membership.observe(from, message.incarnation, now);
		this.#applyUpdates(message.rumours ?? [], now);
		this.fanout.handleAnnouncement(from, message.configurationVersion, now);
		const member = this.membership.member(from);
		if (member?.status === 'gone') {
			this.#outbox.send(from, {...this.#heartbeat(), rumours: [memberUpdateOf(member)]});
		} else if (member?.dataCentre === this.#options.self.dataCentre && message.viewDigest !== this.membership.viewDigest && this.#viewRateLimiter.tryAcquire(from, now)) {
			this.#outbox.send(from, {kind: 'view', members: this.membership.view()});
		}
	}

	#applyUpdates(updates: readonly MemberUpdate[], now: number): void {
		const newUpdates = updates
			.map(update => this.membership.applyUpdate(update, now))
			.filter(update => update !== undefined);
		this.#spreadUpdates(newUpdates, now);
	}

	#spreadUpdates(updates: readonly MemberUpdate[], now: number): void {
		for (const update of updates) {
			this.#options.listener.memberChanged(update);
		}

		for (const update of updates) {
			if (update.dataCentre === this.#options.self.dataCentre) {
				this.#gossip.add(update, now);
			}
		}
	}

	#announceChanges(changes: readonly ConfigurationChange[], from: string): void {
		if (changes.length === 0) {
			return;
		}

		for (const change of changes) {
			this.fanout.retain(change);
		}

		const newest = changes.at(-1)!.version;
		const message: PeerMessage = this.#options.fanoutMode === 'push' ? {kind: 'changes', changes: [...changes]} : this.#heartbeat();
		for (const name of this.#outbox.linked) {
			if (name !== from && this.fanout.announcedBy(name) < newest) {
				this.#outbox.send(name, message);
			}
		}
	}

	#publishLoads(now: number): void {
		const {cell} = this.overlay;
		const message = this.loadGossip.takeDueMessage(cell.size, now);
		if (message !== undefined) {
			for (const name of cell.keys()) {
				this.#outbox.send(name, message);
			}
		}
	}

	#assignOwners(): void {
		const {revision} = this.membership;
		if (this.#assignedRevision !== revision) {
			this.#assignedRevision = revision;
			const ownership = this.loadGossip.assignOwners(this.membership.allLive());
			if (ownership.acquired + ownership.released > 0) {
				this.#options.listener.ownershipChanged(ownership);
			}
		}
	}

	#heartbeat(): Extract<PeerMessage, {kind: 'heartbeat'}> {
		return {
			kind: 'heartbeat',
			incarnation: this.membership.self.incarnation,
			viewDigest: this.membership.viewDigest,
			configurationVersion: this.#options.configuration.state.version,
		};
	}
}
