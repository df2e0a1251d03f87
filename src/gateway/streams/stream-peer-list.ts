/** The lists of instances that keep origins of streams, as the coordinator makes and sends them: one for each data centre. */
import {createHash} from 'node:crypto';

/** What a follower reports about itself, and the list that it has. */
export type StreamPeerQuery = {
	/** `IP:port` where it answers peers; absent while others must not use it. */
	address?: string;
	dataCentre: string;
	/** The digest of its newest list; empty without one. */
	digest: string;
};

/** The list of the follower's data centre, itself included. */
export type StreamPeerList = {
	digest: string;
	/** Absent if the follower has this list. */
	addresses?: string[];
};

/** Addresses in a list. Of more instances, all followers get the same part. */
const maxAddresses = 100;
/** A list is made again after this time. */
const maxAgeMilliseconds = 300;
const digestLength = 8;

export class StreamPeerLists {
	readonly #lists = new Map<string, Required<StreamPeerList> & {madeAt: number}>();

	/**
	 * Answers a follower.
	 *
	 * @param query - The follower's query.
	 * @param followers - What all followers have last reported.
	 * @param now - The present time in milliseconds of the steady clock.
	 * @returns The list, without addresses if the follower has it.
	 */
	answer({dataCentre, digest: known}: StreamPeerQuery, followers: () => Iterable<StreamPeerQuery>, now: number): StreamPeerList {
		let list = this.#lists.get(dataCentre);
		if (list === undefined || now - list.madeAt > maxAgeMilliseconds) {
			const addresses = [...followers()].flatMap(follower => follower.dataCentre === dataCentre && follower.address !== undefined ? [follower.address] : []);
			list = {...listOf(addresses), madeAt: now};
			this.#lists.set(dataCentre, list);
		}

		const {digest, addresses} = list;
		return digest === known ? {digest} : {digest, addresses};
	}
}

function listOf(unsorted: string[]): Required<StreamPeerList> {
	const addresses = [...new Set(unsorted)].toSorted((left, right) => left < right ? -1 : 1).slice(0, maxAddresses);
	return {addresses, digest: createHash('sha256').update(addresses.join(' ')).digest('base64url').slice(0, digestLength)};
}
