/**
 * Who is there, as one instance believes: the platform's lagging list, corrected by direct heartbeats and by rumours of
 * peers. A pure state machine with the present time as an argument. It is a hint: two instances with different views do
 * some work twice or miss some, and never give a wrong answer.
 */
import {type ListedInstance} from '../../shared/types.js';
import {type MemberRumour, type MemberStatus} from '../message/peer-message.js';
import {hashOfText} from '../sharing/rendezvous.js';

/** Silence that a neighbour does not show while it is well: heartbeats come each second. */
export const lateAfterMilliseconds = 1500;

/** Silence after which a neighbour is suspected: two and a half heartbeats. It keeps its shards. */
export const suspectAfterMilliseconds = 2500;

/** Silence after which a neighbour counts as gone: four heartbeats. Its shards go to others; the sum stays under 5 s. */
export const goneAfterMilliseconds = 4000;

/** How long a member that is gone and no longer listed is remembered, so that late rumours do not bring it back. */
export const forgetAfterMilliseconds = 60_000;

/** A member as one instance believes it to be. */
export type Member = {
	name: string;
	nameHash: number;
	dataCentre: string;
	peerAddress: string;
	/** 0 while it is known from the list alone. */
	incarnation: number;
	status: MemberStatus;
	changedAt: number;
	isListed: boolean;
	/** When it last spoke to this instance itself, or became a neighbour; only looked at for neighbours. */
	heardAt: number;
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

	constructor(self: Omit<MemberRumour, 'status'>, now: number) {
		this.#self = {
			...self, nameHash: hashOfText(self.name), status: 'alive', changedAt: now, isListed: false, heardAt: now,
		};
		this.#members.set(self.name, this.#self);
		this.#lastTickAt = now;
	}

	/** What this instance says of itself. */
	get self(): MemberRumour {
		return rumourOf(this.#self);
	}

	/** A digest over the members of the own data centre that anybody has heard from; equal views have equal digests. */
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

	/** Everybody remembered, for operators. */
	everybody(): readonly Member[] {
		return [...this.#members.values()];
	}

	/** Everybody remembered, as rumours for a peer of the own data centre. */
	view(): MemberRumour[] {
		return [...this.#members.values()]
			.filter(({incarnation, dataCentre}) => incarnation > 0 && dataCentre === this.#self.dataCentre)
			.map(member => rumourOf(member));
	}

	/** Gone members that the platform still lists: worth a try now and then, as after a cut both sides are silent. */
	goneButListed(): readonly Member[] {
		return [...this.#members.values()].filter(({status, isListed}) => status === 'gone' && isListed);
	}

	member(name: string): Member | undefined {
		return this.#members.get(name);
	}

	/**
	 * Takes the platform's list. It adds members and takes away those that never spoke; it never overrules what a member
	 * or its neighbours said, for it lags by seconds.
	 */
	takeList(instances: readonly ListedInstance[], now: number): void {
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

	/** Takes note that a member spoke to this instance itself. */
	heard(name: string, incarnation: number, now: number): void {
		const member = this.#members.get(name);
		if (member === undefined || incarnation < member.incarnation) {
			return;
		}

		member.heardAt = now;
		if (incarnation > member.incarnation || member.status === 'suspect') {
			this.#put({...rumourOf(member), incarnation, status: 'alive'}, now, member.isListed);
		}
	}

	/**
	 * Takes a rumour.
	 *
	 * @returns What to pass on: the rumour if it was news, the contradiction if it said that this instance is gone, or
	 *   nothing.
	 */
	takeRumour(rumour: MemberRumour, now: number): MemberRumour | undefined {
		if (rumour.name === this.#self.name) {
			return this.#contradict(rumour);
		}

		const known = this.#members.get(rumour.name);
		const isNews = known === undefined
			|| rumour.incarnation > known.incarnation
			|| (rumour.incarnation === known.incarnation && statusRank[rumour.status] > Math.max(statusRank[known.status], statusRank.suspect));
		if (!isNews) {
			return undefined;
		}

		this.#put(rumour, now, known?.isListed ?? false);
		return rumour;
	}

	/**
	 * Lets time pass: a silent neighbour becomes suspected, then gone.
	 *
	 * @param neighbours - The names that send heartbeats to this instance.
	 * @param now - Milliseconds since the epoch.
	 * @returns Rumours to spread.
	 */
	tick(neighbours: ReadonlySet<string>, now: number): MemberRumour[] {
		// After a pause of this process everybody seems silent. Judging by that would make all of its neighbours gone at
		// once; so they get the whole time again.
		const wasPaused = now - this.#lastTickAt > suspectAfterMilliseconds;
		this.#lastTickAt = now;
		const rumours: MemberRumour[] = [];
		for (const member of this.#members.values()) {
			if (member === this.#self || statusRank[member.status] > statusRank.suspect) {
				continue;
			}

			// A neighbour that is late stays under judgement when the ring is drawn anew without it: with a rack dead, each
			// death that is noticed moves cells, and the others' silence would start from nothing each time.
			const silence = now - member.heardAt;
			if (wasPaused || (!neighbours.has(member.name) && silence <= lateAfterMilliseconds)) {
				member.heardAt = now;
				continue;
			}

			if (silence > goneAfterMilliseconds) {
				const rumour: MemberRumour = {...rumourOf(member), status: 'gone'};
				this.#put(rumour, now, member.isListed);
				rumours.push(rumour);
			} else if (silence > suspectAfterMilliseconds) {
				member.status = 'suspect';
			}
		}

		return rumours;
	}

	#contradict(rumour: MemberRumour): MemberRumour | undefined {
		if (rumour.incarnation < this.#self.incarnation || rumour.status === 'alive') {
			return undefined;
		}

		this.#self.incarnation = rumour.incarnation + 1;
		this.#digestCache = undefined;
		return rumourOf(this.#self);
	}

	#put(rumour: MemberRumour, now: number, isListed: boolean): void {
		const known = this.#members.get(rumour.name);
		const wasLive = known !== undefined && statusRank[known.status] <= statusRank.suspect;
		const isLive = rumour.status === 'alive';
		this.#digestCache = undefined;
		this.#members.set(rumour.name, {
			...rumour, nameHash: known?.nameHash ?? hashOfText(rumour.name), changedAt: now, isListed, heardAt: now,
		});
		if (wasLive !== isLive) {
			this.revision++;
		}
	}

	/** A sum, so that the order of the members does not matter. */
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

/** Gives what peers are told of a member; a suspicion is this instance's own and is not passed on. */
export function rumourOf(member: Member): MemberRumour {
	const {
		name, dataCentre, peerAddress, incarnation, status,
	} = member;
	return {
		name, dataCentre, peerAddress, incarnation, status: status === 'suspect' ? 'alive' : status,
	};
}
