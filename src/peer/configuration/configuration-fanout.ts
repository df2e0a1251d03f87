/**
 * Spreads configuration changes among peers. Every heartbeat announces the newest version; whoever sees a gap asks one
 * peer that has it, after a short random wait in which other peers' changes may still arrive, and never has two asks
 * open. Changes prove themselves by their chain of digests, so a peer is never trusted. Pure: time is an argument.
 *
 * The announcing of the newest number in each message and the random wait before asking come from Sixrm (Ferreira,
 * Orvalho, Boavida); docs/MEMBERSHIP.md tells what was taken and what was not, with the measurement.
 */
import {type ApplyFailure} from '../../protocol/configuration/apply-change.js';
import {type ConfigurationState} from '../../protocol/configuration/configuration-state.js';
import {type ConfigurationChange} from '../../shared/types.js';
import {type PeerMessage} from '../message/peer-message.js';
import {snapshotOf} from './configuration-snapshot.js';

/** `announce` sends numbers and lets peers ask; `push` sends each change on to all neighbours at once. */
export type FanoutMode = 'announce' | 'push';

/** What the fan-out needs of the configuration in force. */
export interface ConfigurationKeeper {
	readonly state: ConfigurationState;
	/** Gives the failure of a change that does not follow, or `undefined` once it is in force. */
	offerChange(change: ConfigurationChange): ApplyFailure | undefined;
}

/** Changes kept for peers: at 0.27 a second about an hour, and at 600 bytes each about 0.6 MB. */
export const keptChanges = 1024;

/** Most changes in one message, so that one frame stays far under its limit. */
export const changesPerMessage = 64;

/** The longest random wait before an ask. */
export const askBackoffMilliseconds = 20;

/** How long an ask may stay unanswered until another peer is asked: many round trips of a data centre. */
export const askTimeoutMilliseconds = 100;

/** How long a peer that sent a damaged change is not asked. */
export const distrustMilliseconds = 30_000;

export class ConfigurationFanout {
	/** Counts for the measurements: asks sent, changes that were already here, changes that did not prove themselves. */
	readonly counts = {asks: 0, duplicates: 0, damaged: 0};
	/** When `tick` has something to do; infinite if nothing is missing. */
	dueAt = Number.POSITIVE_INFINITY;
	readonly #keeper: ConfigurationKeeper;
	readonly #random: () => number;
	readonly #backoffMilliseconds: number;
	readonly #announced = new Map<string, number>();
	readonly #distrustedUntil = new Map<string, number>();
	#isAskOpen = false;
	#kept: ConfigurationChange[] = [];

	/**
	 * @param keeper - The configuration in force.
	 * @param random - Gives numbers from 0 up to 1, from a seeded generator.
	 * @param backoffMilliseconds - The longest random wait before an ask.
	 */
	constructor(keeper: ConfigurationKeeper, random: () => number, backoffMilliseconds = askBackoffMilliseconds) {
		this.#keeper = keeper;
		this.#random = random;
		this.#backoffMilliseconds = backoffMilliseconds;
	}

	/** Keeps a change that came into force here, from wherever, for peers that ask. */
	keep(change: ConfigurationChange): void {
		this.#kept = [...this.#kept.slice(1 - keptChanges), change];
	}

	/** Forgets a peer whose link ended. */
	forget(peer: string): void {
		this.#announced.delete(peer);
	}

	/** The version that a peer announced last; 0 if none. */
	announcedBy(peer: string): number {
		return this.#announced.get(peer) ?? 0;
	}

	/** Takes the version that a peer announces. */
	takeAnnouncement(peer: string, version: number, now: number): void {
		this.#announced.set(peer, Math.max(version, this.announcedBy(peer)));
		// While an ask is open, another peer's announcement must not bring a second one for the same changes.
		if (version > this.#keeper.state.version && !this.#isAskOpen) {
			this.dueAt = Math.min(this.dueAt, now + (this.#random() * this.#backoffMilliseconds));
		}
	}

	/**
	 * Takes changes from a peer.
	 *
	 * @returns Those that came into force, oldest first.
	 */
	takeChanges(peer: string, changes: readonly ConfigurationChange[], now: number): ConfigurationChange[] {
		const applied: ConfigurationChange[] = [];
		for (const change of changes) {
			const failure = this.#keeper.offerChange(change);
			if (failure === undefined) {
				applied.push(change);
			} else if (failure.kind === 'old') {
				this.counts.duplicates++;
			} else if (failure.kind === 'wrong-digest') {
				this.counts.damaged++;
				this.#distrustedUntil.set(peer, now + distrustMilliseconds);
				break;
			}
		}

		const last = changes.at(-1);
		if (last !== undefined && !this.#isDistrusted(peer, now)) {
			this.takeAnnouncement(peer, last.version, now);
		}

		this.#isAskOpen = false;
		this.dueAt = this.#isBehind() ? now + (this.#random() * this.#backoffMilliseconds) : Number.POSITIVE_INFINITY;
		return applied;
	}

	/** Answers an ask, by changes if they are still kept, else by a snapshot. */
	answer(after: number): PeerMessage | undefined {
		const {state} = this.#keeper;
		if (after >= state.version) {
			return undefined;
		}

		const changes = this.#kept.filter(({version}) => version > after).slice(0, changesPerMessage);
		return changes[0]?.version === after + 1 ? {kind: 'changes', changes} : {kind: 'snapshot', snapshot: snapshotOf(state)};
	}

	/**
	 * Sends an ask if one is due.
	 *
	 * @param now - Milliseconds since the epoch.
	 * @returns Whom to ask; `undefined` if nothing is due.
	 */
	tick(now: number): {peer: string; after: number} | undefined {
		if (now < this.dueAt) {
			return undefined;
		}

		this.#isAskOpen = false;

		const {version} = this.#keeper.state;
		const ahead = [...this.#announced]
			.filter(([peer, announced]) => announced > version && !this.#isDistrusted(peer, now))
			.map(([peer]) => peer);
		const peer = ahead[Math.floor(this.#random() * ahead.length)];
		if (peer === undefined) {
			this.dueAt = this.#isBehind() ? now + askTimeoutMilliseconds : Number.POSITIVE_INFINITY;
			return undefined;
		}

		this.counts.asks++;
		this.#isAskOpen = true;
		this.dueAt = now + (askTimeoutMilliseconds * (1 + this.#random()));
		return {peer, after: version};
	}

	#isBehind(): boolean {
		return [...this.#announced.values()].some(announced => announced > this.#keeper.state.version);
	}

	#isDistrusted(peer: string, now: number): boolean {
		return (this.#distrustedUntil.get(peer) ?? 0) > now;
	}
}
