/** The messages that are queued for sending, and the peers with a link. */
import {type PeerMessage} from '../message/peer-message.js';

/** A message and its receiver. */
export type OutgoingMessage = {to: string; message: PeerMessage};

export class PeerOutbox {
	/** Peers with a link, whichever side opened it: each gets heartbeats, since it may expect them by its own view. */
	readonly #linked = new Set<string>();
	#outgoing: OutgoingMessage[] = [];

	get linked(): ReadonlySet<string> {
		return this.#linked;
	}

	/** Adds a peer whose link came up. */
	linkUp(peer: string): void {
		this.#linked.add(peer);
	}

	/** Removes a peer whose link ended. */
	linkDown(peer: string): void {
		this.#linked.delete(peer);
	}

	/** Queues a message for a peer. */
	send(to: string, message: PeerMessage): void {
		this.#outgoing.push({to, message});
	}

	/** Queues a message for every linked peer except one. */
	sendAll(message: PeerMessage, except = ''): void {
		for (const name of this.#linked) {
			if (name !== except) {
				this.send(name, message);
			}
		}
	}

	/** Returns the queued messages and empties the queue. */
	flush(): OutgoingMessage[] {
		const outgoing = this.#outgoing;
		this.#outgoing = [];
		return outgoing;
	}
}
