/**
 * The other instances of the data centre that keep origins of streams, and the choice among them for a stream.
 *
 * A list does not replace the earlier ones: a coordinator that has just taken over knows few instances.
 */
import {bestMembers, hashOfText, ownerOf} from '../../peer/ownership/rendezvous.js';
import {type StreamPeerList} from './stream-peer-list.js';

/** A peer that was not listed for this long is forgotten. */
const maxAgeMilliseconds = 30_000;
/** How many peers are remembered; the one that was listed longest ago is dropped first. */
const maxPeers = 200;
/** How long a peer that did not answer is left out. */
const failedMilliseconds = 2000;
const recorderHash = hashOfText('recorder');

type Peer = {name: string; nameHash: number; listedAt: number; failedUntil: number};

export class StreamPeers {
	readonly #ownAddress: string;
	readonly #peers = new Map<string, Peer>();
	#listed: readonly string[] = [];
	#digest = '';
	readonly #ownNameHash: number;

	/** @param ownAddress - `IP:port` of this instance, which the lists contain as well. */
	constructor(ownAddress: string) {
		this.#ownAddress = ownAddress;
		this.#ownNameHash = hashOfText(ownAddress);
	}

	/** The digest of the newest list; empty before the first one. */
	get digest(): string {
		return this.#digest;
	}

	/** Applies a list, or the confirmation of the newest one. */
	apply({digest, addresses}: StreamPeerList, now: number): void {
		if (addresses !== undefined) {
			this.#listed = addresses;
			this.#digest = digest;
		} else if (digest !== this.#digest) {
			return;
		}

		for (const name of this.#listed) {
			const known = this.#peers.get(name);
			this.#peers.delete(name);
			this.#peers.set(name, {
				name, nameHash: known?.nameHash ?? hashOfText(name), listedAt: now, failedUntil: known?.failedUntil ?? Number.NEGATIVE_INFINITY,
			});
		}

		this.#peers.delete(this.#ownAddress);
		for (const [name, {listedAt}] of this.#peers) {
			if (now - listedAt > maxAgeMilliseconds || this.#peers.size > maxPeers) {
				this.#peers.delete(name);
			}
		}
	}

	/** Records that a peer could not be reached, or did not answer in time. */
	noteFailed(address: string, now: number): void {
		const peer = this.#peers.get(address);
		if (peer !== undefined) {
			peer.failedUntil = now + failedMilliseconds;
		}
	}

	/** Whether there is a peer to choose. */
	hasUsable(now: number): boolean {
		return [...this.#peers.values()].some(peer => isUsable(peer, now));
	}

	/**
	 * Chooses the instance that writes origins to the store, which may be this one. Instances that know the same peers agree on it; where
	 * they do not, some origins are written twice, or not at all.
	 *
	 * @param now - The present time in milliseconds of the steady clock.
	 * @returns Its address; `undefined` if it is this instance.
	 */
	recorder(now: number): string | undefined {
		const own = {name: this.#ownAddress, nameHash: this.#ownNameHash};
		const recorder = ownerOf(recorderHash, [own, ...[...this.#peers.values()].filter(peer => isUsable(peer, now))]);
		return recorder === own ? undefined : recorder?.name;
	}

	/**
	 * Chooses the peers that keep the origin of a stream.
	 *
	 * @param key - The stream's key.
	 * @param count - The maximum number of peers.
	 * @param now - The present time in milliseconds of the steady clock.
	 * @returns Their addresses, the first owner first.
	 */
	ownersOf(key: string, count: number, now: number): string[] {
		const usable = [...this.#peers.values()].filter(peer => isUsable(peer, now));
		return bestMembers(hashOfText(key), usable, count).map(({name}) => name);
	}
}

function isUsable({listedAt, failedUntil}: Peer, now: number): boolean {
	return now - listedAt <= maxAgeMilliseconds && failedUntil <= now;
}
