/**
 * Exchanges the loads of endpoints among peers. An instance polls only the endpoints that it owns by rendezvous hashing, and
 * publishes their loads to its cell; while instances are few the cell contains all of them, so each knows all loads. That an
 * endpoint is leaving is sent to all neighbours and forwarded by them across the data centre. Time is an argument.
 */
import {type LoadReport} from '../../ports/model-engine.js';
import {type ListedInstance} from '../../shared/types.js';
import {type LoadSummary, type LoadUpdate, type PeerMessage} from '../message/peer-message.js';
import {packedUpdateBytes} from '../message/packed-updates.js';
import {type Member} from '../membership/membership.js';
import {hashOfText, ownerOf} from '../ownership/rendezvous.js';
import {summaryOf} from './load-summary.js';

/** The minimum time between two messages to the cell. */
export const publishIntervalMilliseconds = 500;

/** Bytes a second for messages to the cell. With many owned endpoints or a large cell, messages are less frequent. */
export const publishBytesPerSecond = 700;

/** How often the full summary is sent, for peers that missed it. */
export const fullSummaryIntervalMilliseconds = 30_000;

/** Age of a load at which its owner seems to have failed and this instance polls the endpoint: three minimum intervals. */
export const pollUnownedAfterMilliseconds = 1500;

type KnownLoad = {summary: LoadSummary; measuredAt: number; fullPublishedAt: number; publishedMeasuredAt: number};

/** An endpoint's summary as it was received, for the endpoint directory. */
export type ReceivedLoad = {name: string; summary: LoadSummary; measuredAt: number};

export class LoadGossip {
	readonly #self: string;
	readonly #endpoints = new Map<number, {name: string; dataCentre: string; owner: string}>();
	readonly #known = new Map<number, KnownLoad>();
	#nextPublishAt = 0;
	#publishInterval = publishIntervalMilliseconds;

	constructor(self: string) {
		this.#self = self;
	}

	/** How many endpoints this instance owns. */
	get ownedCount(): number {
		return this.owned().length;
	}

	/** How many endpoints this instance has a summary of. */
	get knownCount(): number {
		return this.#known.size;
	}

	/**
	 * Whether this instance should know an endpoint's load: if the owner is itself or in its cell, or not assigned yet.
	 *
	 * @param name - The endpoint.
	 * @param cell - The peers that publish to this instance, by name.
	 */
	expects(name: string, cell: ReadonlyMap<string, Member>): boolean {
		const owner = this.#endpoints.get(hashOfText(name))?.owner ?? '';
		return owner === '' || owner === this.#self || cell.has(owner);
	}

	/** The names of the endpoints that this instance owns. */
	owned(): string[] {
		return [...this.#endpoints.values()].filter(({owner}) => owner === this.#self).map(({name}) => name);
	}

	/** Replaces the endpoints by those of the list: model engines and plain services, since both report their load. */
	setEndpoints(instances: readonly ListedInstance[]): void {
		const listed = new Set<number>();
		for (const {name, role, dataCentre} of instances) {
			if (role === 'model-engine' || role === 'plain-service') {
				const key = hashOfText(name);
				listed.add(key);
				this.#endpoints.set(key, {name, dataCentre, owner: this.#endpoints.get(key)?.owner ?? ''});
			}
		}

		for (const key of this.#endpoints.keys()) {
			if (!listed.has(key)) {
				this.#endpoints.delete(key);
				this.#known.delete(key);
			}
		}
	}

	/**
	 * Assigns each endpoint an owner among the live members of its data centre, or among all if that has none.
	 *
	 * @returns How many endpoints this instance acquired and released.
	 */
	assignOwners(all: readonly Member[]): {acquired: number; released: number} {
		const ownership = {acquired: 0, released: 0};
		const members = new Map<string, Member[]>();
		for (const [key, endpoint] of this.#endpoints) {
			const near = members.get(endpoint.dataCentre) ?? all.filter(({dataCentre}) => dataCentre === endpoint.dataCentre);
			members.set(endpoint.dataCentre, near);
			const owner = ownerOf(key, near.length > 0 ? near : all)?.name ?? '';
			if (owner !== endpoint.owner) {
				ownership.acquired += owner === this.#self ? 1 : 0;
				ownership.released += endpoint.owner === this.#self ? 1 : 0;
				endpoint.owner = owner;
			}
		}

		return ownership;
	}

	/**
	 * Returns the endpoints to poll now: the owned ones, and those of the cell whose load was published too long ago, because
	 * their owner seems to have failed.
	 *
	 * @param now - Milliseconds since the epoch.
	 * @param cell - The peers that publish to this instance, by name.
	 */
	endpointsToPoll(now: number, cell: ReadonlyMap<string, Member>): string[] {
		// Larger messages are sent at longer intervals, and the owner's messages are about as large as those of this instance.
		const pollAfter = Math.max(pollUnownedAfterMilliseconds, this.#publishInterval * 1.5);
		return [...this.#endpoints]
			.filter(([key, {owner}]) => owner === this.#self
				|| (cell.has(owner) && now - (this.#known.get(key)?.measuredAt ?? 0) > pollAfter))
			.map(([, {name}]) => name);
	}

	/**
	 * Handles a report that this instance polled.
	 *
	 * @returns A message for all neighbours if the endpoint has begun to leave.
	 */
	handleReport(name: string, report: LoadReport, now: number): PeerMessage | undefined {
		const summary = summaryOf(name, report);
		return this.#store(summary, now) ? leavingMessage([summary]) : undefined;
	}

	/**
	 * Handles summaries from a peer.
	 *
	 * @returns The received loads, and a message to forward if an endpoint has begun to leave.
	 */
	handleLoads(message: Extract<PeerMessage, {kind: 'loads'}>, now: number): {learned: ReceivedLoad[]; forward?: PeerMessage} {
		const measuredAt = now - message.age;
		const changed = message.updates.flatMap(update => {
			const known = this.#known.get(update.endpoint);
			return known === undefined ? [] : [updated(known.summary, update)];
		});
		const summaries = [...message.loads, ...changed];
		const leaving = summaries.filter(summary => this.#store(summary, measuredAt));
		const learned = summaries.flatMap(summary => {
			const endpoint = this.#endpoints.get(summary.endpoint);
			return endpoint === undefined ? [] : [{name: endpoint.name, summary, measuredAt}];
		});
		return leaving.length === 0 ? {learned} : {learned, forward: leavingMessage(leaving)};
	}

	/**
	 * Returns the message to publish to the cell, if one is due.
	 *
	 * @param cellSize - The number of peers that will receive it.
	 * @param now - Milliseconds since the epoch.
	 */
	takeDueMessage(cellSize: number, now: number): PeerMessage | undefined {
		if (now < this.#nextPublishAt || cellSize === 0) {
			return undefined;
		}

		const loads: LoadSummary[] = [];
		const updates: LoadUpdate[] = [];
		let age = 0;
		for (const [key, known] of this.#known) {
			if (this.#endpoints.get(key)?.owner !== this.#self || known.publishedMeasuredAt === known.measuredAt) {
				continue;
			}

			known.publishedMeasuredAt = known.measuredAt;
			age = Math.max(age, now - known.measuredAt);
			if (now - known.fullPublishedAt >= fullSummaryIntervalMilliseconds) {
				known.fullPublishedAt = now;
				loads.push(known.summary);
			} else {
				updates.push(updateOf(known.summary));
			}
		}

		const spent = (loads.length + updates.length) * packedUpdateBytes * cellSize;
		this.#publishInterval = Math.max(publishIntervalMilliseconds, spent * 1000 / publishBytesPerSecond);
		this.#nextPublishAt = now + this.#publishInterval;
		return loads.length + updates.length === 0
			? undefined
			: {
				kind: 'loads', loads, updates, age,
			};
	}

	/** Makes the next message contain full summaries, for a new peer. */
	publishInFull(): void {
		for (const known of this.#known.values()) {
			known.fullPublishedAt = 0;
			known.publishedMeasuredAt = 0;
		}
	}

	/** Stores a summary. Returns whether it is the first one with the state `leaving`. */
	#store(summary: LoadSummary, measuredAt: number): boolean {
		const known = this.#known.get(summary.endpoint);
		if (known !== undefined && known.measuredAt > measuredAt) {
			return false;
		}

		const before = known?.summary;
		const isSame = before?.model === summary.model
			&& before.weightVersion === summary.weightVersion && before.state === summary.state;
		this.#known.set(summary.endpoint, {
			summary, measuredAt, publishedMeasuredAt: known?.publishedMeasuredAt ?? 0, fullPublishedAt: isSame ? (known?.fullPublishedAt ?? 0) : 0,
		});
		return summary.state === 'leaving' && before?.state !== 'leaving';
	}
}

function updateOf(summary: LoadSummary): LoadUpdate {
	const {
		endpoint, running, waiting, waitingPrefillTokens, kvUsed, kvCapacity,
	} = summary;
	return {
		endpoint, running, waiting, waitingPrefillTokens, kvShare: kvCapacity > 0 ? kvUsed / kvCapacity : 0,
	};
}

function updated(summary: LoadSummary, {kvShare, ...rest}: LoadUpdate): LoadSummary {
	return {...summary, ...rest, kvUsed: Math.round(kvShare * summary.kvCapacity)};
}

function leavingMessage(loads: LoadSummary[]): PeerMessage {
	return {
		kind: 'loads', loads, updates: [], age: 0,
	};
}
