/**
 * Spreads configuration changes among peers. Every heartbeat announces the newest version. An instance that lacks changes
 * queries one peer that has them, after a short random delay in which they may still arrive from other peers, and never has
 * two queries open. Changes are verified by their chain of digests, so a peer need not be trusted. Time is an argument.
 *
 * The announcement of the newest version in each message and the random delay before a query come from Sixrm (Ferreira,
 * Orvalho, Boavida); docs/MEMBERSHIP.md describes which parts were adopted and which were not, with the measurement.
 */
import {type ApplyFailure} from '../../protocol/configuration/apply-change.js';
import {type ConfigurationState} from '../../protocol/configuration/configuration-state.js';
import {type ConfigurationChange} from '../../shared/types.js';
import {type PeerMessage} from '../message/peer-message.js';
import {snapshotOf} from './configuration-snapshot.js';

/** `announce` sends version numbers, after which peers query; `push` forwards each change to all neighbours at once. */
export type FanoutMode = 'announce' | 'push';

/** The configuration in force, as the fan-out reads and changes it. */
export interface ReplicatedConfiguration {
	readonly state: ConfigurationState;
	/** Brings a change into force. Returns why the change does not follow the present state, or `undefined` on success. */
	offerChange(change: ConfigurationChange): ApplyFailure | undefined;
}

/** Changes retained for peers: about an hour at 0.27 changes a second, and about 0.6 MB at 600 bytes each. */
export const maxRetainedChanges = 1024;

/** Maximum number of changes in one message, which keeps a frame far under its limit. */
export const changesPerMessage = 64;

/** The maximum random delay before a query. */
export const queryBackoffMilliseconds = 20;

/** Time without an answer after which another peer is queried: many round trips within a data centre. */
export const queryTimeoutMilliseconds = 100;

/** How long a peer that sent a damaged change is not queried. */
export const exclusionMilliseconds = 30_000;

export class ConfigurationFanout {
	/** Counts for measurements: queries sent, changes that were already in force, changes whose digest was wrong. */
	readonly counts = {queries: 0, duplicates: 0, damaged: 0};
	/** When `tick` has to be called; infinite if no change is missing. */
	dueAt = Number.POSITIVE_INFINITY;
	readonly #configuration: ReplicatedConfiguration;
	readonly #random: () => number;
	readonly #backoffMilliseconds: number;
	readonly #announced = new Map<string, number>();
	readonly #excludedUntil = new Map<string, number>();
	#isQueryOpen = false;
	#retained: ConfigurationChange[] = [];

	/**
	 * @param configuration - The configuration in force.
	 * @param random - Returns numbers from 0 up to 1, from a seeded generator.
	 * @param backoffMilliseconds - The maximum random delay before a query.
	 */
	constructor(configuration: ReplicatedConfiguration, random: () => number, backoffMilliseconds = queryBackoffMilliseconds) {
		this.#configuration = configuration;
		this.#random = random;
		this.#backoffMilliseconds = backoffMilliseconds;
	}

	/** Retains a change that came into force here, from any source, for peers that query it. */
	retain(change: ConfigurationChange): void {
		this.#retained = [...this.#retained.slice(1 - maxRetainedChanges), change];
	}

	/** Removes the state of a peer whose link ended. */
	forget(peer: string): void {
		this.#announced.delete(peer);
	}

	/** The version that a peer announced last; 0 if none. */
	announcedBy(peer: string): number {
		return this.#announced.get(peer) ?? 0;
	}

	/** Handles the version that a peer announces. */
	handleAnnouncement(peer: string, version: number, now: number): void {
		this.#announced.set(peer, Math.max(version, this.announcedBy(peer)));
		// While a query is open, another peer's announcement must not cause a second one for the same changes.
		if (version > this.#configuration.state.version && !this.#isQueryOpen) {
			this.dueAt = Math.min(this.dueAt, now + (this.#random() * this.#backoffMilliseconds));
		}
	}

	/**
	 * Applies changes from a peer.
	 *
	 * @returns The changes that came into force, oldest first.
	 */
	applyChanges(peer: string, changes: readonly ConfigurationChange[], now: number): ConfigurationChange[] {
		const applied: ConfigurationChange[] = [];
		for (const change of changes) {
			const failure = this.#configuration.offerChange(change);
			if (failure === undefined) {
				applied.push(change);
			} else if (failure.kind === 'old') {
				this.counts.duplicates++;
			} else if (failure.kind === 'wrong-digest') {
				this.counts.damaged++;
				this.#excludedUntil.set(peer, now + exclusionMilliseconds);
				break;
			}
		}

		const last = changes.at(-1);
		if (last !== undefined && !this.#isExcluded(peer, now)) {
			this.handleAnnouncement(peer, last.version, now);
		}

		this.#isQueryOpen = false;
		this.dueAt = this.#mustYield() ? now + (this.#random() * this.#backoffMilliseconds) : Number.POSITIVE_INFINITY;
		return applied;
	}

	/** Answers a query for the changes after a version: with changes if they are still retained, otherwise with a snapshot. */
	answer(after: number): PeerMessage | undefined {
		const {state} = this.#configuration;
		if (after >= state.version) {
			return undefined;
		}

		const changes = this.#retained.filter(({version}) => version > after).slice(0, changesPerMessage);
		return changes[0]?.version === after + 1 ? {kind: 'changes', changes} : {kind: 'snapshot', snapshot: snapshotOf(state)};
	}

	/**
	 * Starts a query if one is due.
	 *
	 * @param now - Milliseconds since the epoch.
	 * @returns The peer to query and the version after which changes are missing; `undefined` if no query is due.
	 */
	tick(now: number): {peer: string; after: number} | undefined {
		if (now < this.dueAt) {
			return undefined;
		}

		this.#isQueryOpen = false;

		const {version} = this.#configuration.state;
		const ahead = [...this.#announced]
			.filter(([peer, announced]) => announced > version && !this.#isExcluded(peer, now))
			.map(([peer]) => peer);
		const peer = ahead[Math.floor(this.#random() * ahead.length)];
		if (peer === undefined) {
			this.dueAt = this.#mustYield() ? now + queryTimeoutMilliseconds : Number.POSITIVE_INFINITY;
			return undefined;
		}

		this.counts.queries++;
		this.#isQueryOpen = true;
		this.dueAt = now + (queryTimeoutMilliseconds * (1 + this.#random()));
		return {peer, after: version};
	}

	#mustYield(): boolean {
		return [...this.#announced.values()].some(announced => announced > this.#configuration.state.version);
	}

	#isExcluded(peer: string, now: number): boolean {
		return (this.#excludedUntil.get(peer) ?? 0) > now;
	}
}
