/**
 * The membership as one instance sees it: the platform's list, which lags, corrected by heartbeats and by gossip updates of
 * peers. It is a state machine without input and output, and the present time is an argument. The membership is a hint: two
 * instances with different views do some work twice or not at all, but never give a wrong answer.
 */
import {type ListedInstance} from '../../shared/types.js';
import {type MemberUpdate, type MemberStatus} from '../message/peer-message.js';
import {hashOfText} from '../ownership/rendezvous.js';

/** A neighbour from which nothing is received for longer than this is late: heartbeats are sent every second. */
export const lateAfterMilliseconds = 1500;

/** Time without a heartbeat after which a neighbour is suspected: two and a half heartbeats. It keeps its shards. */
export const suspectAfterMilliseconds = 2500;

/** Time without a heartbeat after which a neighbour is `gone`: four heartbeats. Its shards then move, within 5 s in all. */
export const failedAfterMilliseconds = 4000;

/** How long a failed or departed member that is no longer listed is remembered, so that late updates do not bring it back. */
export const forgetAfterMilliseconds = 60_000;

/** A member as one instance sees it. */
export type Member = {
	name: string;
	nameHash: number;
	dataCentre: string;
	peerAddress: string;
	/** 0 while the member is known from the list only. */
	incarnation: number;
	status: MemberStatus;
	changedAt: number;
	isListed: boolean;
	/** When its last message to this instance arrived, or it became a neighbour; only used for neighbours. */
	lastSeenAt: number;
};

const digestModulus = 2 ** 32;
const incarnationModulus = 4093;

const statusRank: Record<MemberStatus, number> = {
	alive: 0, suspect: 1, gone: 2, left: 3,
};

export class Membership {
	/** Grows with each change of the set of live members. */
	revision = 0;
	readonly #members = new Map<string, Member>();
	readonly #self: Member;
	#lastTickAt: number;
	#digestCache: number | undefined;
	#liveCache: {revision: number; own: Member[]; all: Member[]} | undefined;

	constructor(self: Omit<MemberUpdate, 'status'>, now: number) {
		this.#self = {
			...self, nameHash: hashOfText(self.name), status: 'alive', changedAt: now, isListed: false, lastSeenAt: now,
		};
		this.#members.set(self.name, this.#self);
		this.#lastTickAt = now;
	}

	/** The gossip update about this instance itself. */
	get self(): MemberUpdate {
		return memberUpdateOf(this.#self);
	}

	/** A digest over the members of the own data centre that have an incarnation; equal views have equal digests. */
	get viewDigest(): number {
		this.#digestCache ??= this.#digest();
		return this.#digestCache;
	}

	/** The live members of the own data centre, this instance and suspected ones included. */
	ownLive(): readonly Member[] {
		return this.#live().own;
	}

	/** The live members of all data centres. */
	allLive(): readonly Member[] {
		return this.#live().all;
	}

	/** All remembered members, for operators. */
	allMembers(): readonly Member[] {
		return [...this.#members.values()];
	}

	/** The remembered members of the own data centre that have an incarnation, as updates for a peer. */
	view(): MemberUpdate[] {
		return [...this.#members.values()]
			.filter(({incarnation, dataCentre}) => incarnation > 0 && dataCentre === this.#self.dataCentre)
			.map(member => memberUpdateOf(member));
	}

	/** Failed members that the platform still lists. They are dialled now and then: after a partition neither side sends. */
	failedButListed(): readonly Member[] {
		return [...this.#members.values()].filter(({status, isListed}) => status === 'gone' && isListed);
	}

	member(name: string): Member | undefined {
		return this.#members.get(name);
	}

	/**
	 * Applies the platform's list. It adds members, and removes those without an incarnation and those whose retention has
	 * expired. It lags by seconds, so it never overrides what a member or its neighbours have announced.
	 */
	applyList(instances: readonly ListedInstance[], now: number): void {
		const listed = new Map(instances
			.filter(({role, peerAddress, state}) => role === 'entry' && peerAddress !== '' && state === 'live')
			.map(instance => [instance.name, instance]));
		for (const [name, {dataCentre, peerAddress}] of listed) {
			const known = this.#members.get(name);
			if (known === undefined) {
				this.#put({
					name, dataCentre, peerAddress, incarnation: 0, status: 'alive',
				}, now, true);
			} else {
				known.isListed = true;
			}
		}

		for (const member of this.#members.values()) {
			const isListed = listed.has(member.name);
			member.isListed = isListed;
			const isForgotten = statusRank[member.status] > statusRank.suspect && now - member.changedAt > forgetAfterMilliseconds;
			if (!isListed && member !== this.#self && (member.incarnation === 0 || isForgotten)) {
				this.#members.delete(member.name);
				this.#digestCache = undefined;
				this.revision++;
			}
		}
	}

	/** Notes a message that a member sent to this instance itself. */
	observe(name: string, incarnation: number, now: number): void {
		const member = this.#members.get(name);
		if (member === undefined || incarnation < member.incarnation) {
			return;
		}

		member.lastSeenAt = now;
		if (incarnation > member.incarnation || member.status === 'suspect') {
			this.#put({...memberUpdateOf(member), incarnation, status: 'alive'}, now, member.isListed);
		}
	}

	/**
	 * Applies a gossip update.
	 *
	 * @returns The update to forward: this one if it was new, the refutation if it said that this instance has failed or left,
	 *   otherwise `undefined`.
	 */
	applyUpdate(update: MemberUpdate, now: number): MemberUpdate | undefined {
		if (update.name === this.#self.name) {
			return this.#refute(update);
		}

		const known = this.#members.get(update.name);
		const isNew = known === undefined
			|| update.incarnation > known.incarnation
			|| (update.incarnation === known.incarnation && statusRank[update.status] > Math.max(statusRank[known.status], statusRank.suspect));
		if (!isNew) {
			return undefined;
		}

		this.#put(update, now, known?.isListed ?? false);
		return update;
	}

	/**
	 * Marks neighbours without heartbeats as `suspect`, and later as `gone`.
	 *
	 * @param neighbours - The names of the members that send heartbeats to this instance.
	 * @param now - Milliseconds since the epoch.
	 * @returns Updates to spread.
	 */
	tick(neighbours: ReadonlySet<string>, now: number): MemberUpdate[] {
		// After a pause of this process no neighbour has a recent heartbeat, and all of them would be marked as `gone` at once.
		// So the time since their last message is counted from now.
		const wasPaused = now - this.#lastTickAt > suspectAfterMilliseconds;
		this.#lastTickAt = now;
		const updates: MemberUpdate[] = [];
		for (const member of this.#members.values()) {
			if (member === this.#self || statusRank[member.status] > statusRank.suspect) {
				continue;
			}

			// A late member that a new ring no longer makes a neighbour keeps its `lastSeenAt`. When a rack fails, each detected
			// failure changes the cells, and would otherwise reset `lastSeenAt` of the other failed members.
			const idleMilliseconds = now - member.lastSeenAt;
			if (wasPaused || (!neighbours.has(member.name) && idleMilliseconds <= lateAfterMilliseconds)) {
				member.lastSeenAt = now;
				continue;
			}

			if (idleMilliseconds > failedAfterMilliseconds) {
				const update: MemberUpdate = {...memberUpdateOf(member), status: 'gone'};
				this.#put(update, now, member.isListed);
				updates.push(update);
			} else if (idleMilliseconds > suspectAfterMilliseconds) {
				member.status = 'suspect';
			}
		}

		return updates;
	}

	#refute(update: MemberUpdate): MemberUpdate | undefined {
		if (update.incarnation < this.#self.incarnation || update.status === 'alive') {
			return undefined;
		}

		this.#self.incarnation = update.incarnation + 1;
		this.#digestCache = undefined;
		return memberUpdateOf(this.#self);
	}

	#put(update: MemberUpdate, now: number, isListed: boolean): void {
		const known = this.#members.get(update.name);
		const wasLive = known !== undefined && statusRank[known.status] <= statusRank.suspect;
		const isLive = update.status === 'alive';
		this.#digestCache = undefined;
		this.#members.set(update.name, {
			...update, nameHash: known?.nameHash ?? hashOfText(update.name), changedAt: now, isListed, lastSeenAt: now,
		});
		if (wasLive !== isLive) {
			this.revision++;
		}
	}

	/** The digest is a sum, so that it does not depend on the order of the members. */
	#digest(): number {
		let digest = 0;
		for (const {nameHash, dataCentre, incarnation, status} of this.#members.values()) {
			if (incarnation > 0 && dataCentre === this.#self.dataCentre) {
				const isOver = statusRank[status] > statusRank.suspect;
				digest += nameHash * (1 + (incarnation % incarnationModulus)) * (isOver ? 2 : 1);
			}
		}

		return digest % digestModulus;
	}

	#live(): {own: Member[]; all: Member[]} {
		if (this.#liveCache?.revision !== this.revision) {
			const all = [...this.#members.values()].filter(({status}) => statusRank[status] <= statusRank.suspect);
			const own = all.filter(({dataCentre}) => dataCentre === this.#self.dataCentre);
			this.#liveCache = {revision: this.revision, own, all};
		}

		return this.#liveCache;
	}
}

/** Returns the gossip update about a member. A suspicion is local to this instance: a suspect is announced as alive. */
export function memberUpdateOf(member: Member): MemberUpdate {
	const {
		name, dataCentre, peerAddress, incarnation, status,
	} = member;
	return {
		name, dataCentre, peerAddress, incarnation, status: status === 'suspect' ? 'alive' : status,
	};
}
