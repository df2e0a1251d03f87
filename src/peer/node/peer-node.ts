/**
 * One instance among its peers: membership, configuration fan-out and load knowledge put together. Pure: it takes
 * messages and the present time, and gives messages to send; a shell (`src/peer/link`) or a test carries them.
 */
import {type LoadReport} from '../../ports/model-engine.js';
import {type ConfigurationChange, type ListedInstance} from '../../shared/types.js';
import {ConfigurationFanout, type ConfigurationKeeper, type FanoutMode} from '../configuration/configuration-fanout.js';
import {type LearnedLoad, LoadKnowledge} from '../knowledge/load-knowledge.js';
import {type Member, Membership} from '../membership/membership.js';
import {type Overlay, overlayOf} from '../membership/overlay.js';
import {type ConfigurationSnapshot, type MemberRumour, type PeerMessage} from '../message/peer-message.js';
import {bestMembers, hashOfText, ownerOf} from '../sharing/rendezvous.js';

/** Time between two heartbeats. */
export const heartbeatMilliseconds = 1000;

/** How many instances of a data centre read the table for changes. */
export const readersPerDataCentre = 2;

const heartbeatJitter = 0.1;
const rumourDelayMilliseconds = 25;
const viewMilliseconds = 2000;
const retryGoneMilliseconds = 2000;
const readerKey = hashOfText('configuration-reader');

/** A message and whom it is for. */
export type Outgoing = {to: string; message: PeerMessage};

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

export class PeerNode {
	readonly membership: Membership;
	readonly fanout: ConfigurationFanout;
	readonly knowledge: LoadKnowledge;
	readonly #options: PeerNodeOptions;
	#outgoing: Outgoing[] = [];
	#overlay: {revision: number; overlay: Overlay} | undefined;
	#sharedRevision = -1;
	#nextHeartbeatAt: number;
	#nextRetryAt = 0;
	#retried = '';
	#rumoursDueAt = Number.POSITIVE_INFINITY;
	readonly #rumours = new Map<string, MemberRumour>();
	readonly #viewSentAt = new Map<string, number>();
	/** Peers with a link, whoever wanted it: each gets heartbeats, as its view may make it expect them. */
	readonly #linked = new Set<string>();

	constructor(options: PeerNodeOptions, now: number) {
		this.#options = options;
		this.membership = new Membership(options.self, now);
		this.fanout = new ConfigurationFanout(options.keeper, options.random, options.askBackoffMilliseconds);
		this.knowledge = new LoadKnowledge(options.self.name);
		// Instances that were started together would otherwise send in step for ever.
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

	/** Whether this instance is one of those that read the table for changes. */
	get isReader(): boolean {
		return bestMembers(readerKey, this.membership.ownLive(), readersPerDataCentre)
			.some(({name}) => name === this.#options.self.name);
	}

	/**
	 * Whether this instance does the work of a key, among the live ones of its data centre: a shard of a directory, an
	 * endpoint to reconcile. Two views may both say yes, or for some seconds none; what must not be done twice needs a
	 * fencing number or a claim besides.
	 */
	owns(key: string): boolean {
		return this.ownerOf(key) === this.#options.self.name;
	}

	/** The name of the instance that does the work of a key, among the live ones of the data centre. */
	ownerOf(key: string): string {
		return ownerOf(hashOfText(key), this.membership.ownLive())?.name ?? this.#options.self.name;
	}

	/** The peers to have links to, with their addresses. */
	wantedLinks(): Array<{name: string; peerAddress: string}> {
		const retried = this.membership.member(this.#retried);
		return [...this.overlay.neighbours.values(), ...(retried === undefined ? [] : [retried])];
	}

	/** When `tick` should be called next, at the latest. */
	get dueAt(): number {
		return Math.min(this.fanout.dueAt, this.#nextHeartbeatAt, this.#rumoursDueAt);
	}

	/** Takes the platform's list. */
	takeList(instances: readonly ListedInstance[], now: number): void {
		this.membership.takeList(instances, now);
		this.knowledge.takeEndpoints(instances);
		this.#sharedRevision = -1;
	}

	/** Notes that a link came up, whoever dialled; both sides tell each other what they have. */
	linkUp(peer: MemberRumour, now: number): Outgoing[] {
		this.#takeRumours([peer], now);
		this.membership.heard(peer.name, peer.incarnation, now);
		this.#linked.add(peer.name);
		this.#send(peer.name, this.#heartbeat());
		this.knowledge.tellWhole();
		return this.#taken();
	}

	/** Notes that a link ended. */
	linkDown(peer: string): void {
		this.#linked.delete(peer);
		this.fanout.forget(peer);
		this.#viewSentAt.delete(peer);
	}

	/** Takes a message. */
	takeMessage(from: string, message: PeerMessage, now: number): Outgoing[] {
		switch (message.kind) {
			case 'hello': {
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
					this.#send(from, answer);
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
					this.#sendAll(passOn, from);
				}

				break;
			}
		}

		return this.#taken();
	}

	/** Tells peers of a change that came into force here by the table or an operator. */
	changeInForce(change: ConfigurationChange): Outgoing[] {
		this.#announce([change], '');
		return this.#taken();
	}

	/** Takes a report that this instance asked an endpoint for. */
	takeReport(name: string, report: LoadReport, now: number): Outgoing[] {
		const message = this.knowledge.takeReport(name, report, now);
		if (message !== undefined) {
			this.#sendAll(message, '');
		}

		return this.#taken();
	}

	/** Says good-bye: the shards go to others at once. */
	leave(): Outgoing[] {
		this.#sendAll({...this.#heartbeat(), rumours: [{...this.membership.self, status: 'left'}]}, '');
		return this.#taken();
	}

	/** Lets time pass. */
	tick(now: number): Outgoing[] {
		this.#spread(this.membership.tick(new Set(this.overlay.neighbours.keys()), now), now);
		this.#flushRumours(now);
		if (now >= this.#nextHeartbeatAt) {
			this.#sendAll(this.#heartbeat(), '');
			this.#nextHeartbeatAt = now + (heartbeatMilliseconds * (1 - (heartbeatJitter * this.#options.random())));
		}

		const ask = this.fanout.tick(now);
		if (ask !== undefined) {
			this.#send(ask.peer, {kind: 'ask-changes', after: ask.after});
		}

		this.#tell(now);
		this.#retryGone(now);
		this.#shareOut();
		return this.#taken();
	}

	#takeHeartbeat(from: string, message: Extract<PeerMessage, {kind: 'heartbeat'}>, now: number): void {
		this.membership.heard(from, message.incarnation, now);
		this.#takeRumours(message.rumours ?? [], now);
		this.fanout.takeAnnouncement(from, message.configurationVersion, now);
		const member = this.membership.member(from);
		if (member?.status === 'gone') {
			this.#send(from, {...this.#heartbeat(), rumours: [{...bare(member), status: 'gone' as const}]});
		} else if (member?.dataCentre === this.#options.self.dataCentre && message.viewDigest !== this.membership.viewDigest) {
			this.#sendView(from, now);
		}
	}

	/** Sends the whole view to a peer that has another one, not too often, as rumours under way explain most differences. */
	#sendView(peer: string, now: number): void {
		const sentAt = this.#viewSentAt.get(peer);
		if (sentAt === undefined) {
			this.#viewSentAt.set(peer, now - (viewMilliseconds * this.#options.random()));
		} else if (now - sentAt >= viewMilliseconds) {
			this.#viewSentAt.set(peer, now);
			this.#send(peer, {kind: 'view', members: this.membership.view()});
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
				this.#rumours.set(rumour.name, rumour);
				this.#rumoursDueAt = Math.min(this.#rumoursDueAt, now + rumourDelayMilliseconds);
			}
		}
	}

	/** Rumours wait a moment, so that a rack that dies, or a data centre that starts, is one message and not dozens. */
	#flushRumours(now: number): void {
		if (now >= this.#rumoursDueAt) {
			this.#sendAll({...this.#heartbeat(), rumours: [...this.#rumours.values()]}, '');
			this.#rumours.clear();
			this.#rumoursDueAt = Number.POSITIVE_INFINITY;
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
		for (const name of this.#linked) {
			if (name !== from && this.fanout.announcedBy(name) < newest) {
				this.#send(name, message);
			}
		}
	}

	#tell(now: number): void {
		const {cell} = this.overlay;
		const message = this.knowledge.tell(cell.size, now);
		if (message !== undefined) {
			for (const name of cell.keys()) {
				this.#send(name, message);
			}
		}
	}

	/** After a cut both sides hold each other gone and are silent; one try now and then finds the end of it. */
	#retryGone(now: number): void {
		if (now < this.#nextRetryAt) {
			return;
		}

		this.#nextRetryAt = now + (retryGoneMilliseconds * (0.5 + this.#options.random()));
		const gone = this.membership.goneButListed();
		this.#retried = gone[Math.floor(this.#options.random() * gone.length)]?.name ?? '';
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

	#send(to: string, message: PeerMessage): void {
		this.#outgoing.push({to, message});
	}

	#sendAll(message: PeerMessage, except: string): void {
		for (const name of this.#linked) {
			if (name !== except) {
				this.#send(name, message);
			}
		}
	}

	#taken(): Outgoing[] {
		const outgoing = this.#outgoing;
		this.#outgoing = [];
		return outgoing;
	}
}

function bare(member: Member): Omit<MemberRumour, 'status'> {
	const {
		name, dataCentre, peerAddress, incarnation,
	} = member;
	return {
		name, dataCentre, peerAddress, incarnation,
	};
}
