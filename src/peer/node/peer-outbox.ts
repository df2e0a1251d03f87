/** Messages that wait to be sent, and the peers with a link. */
import {type PeerMessage} from '../message/peer-message.js';

/** A message and whom it is for. */
export type Outgoing = {to: string; message: PeerMessage};

export class PeerOutbox {
	/** Peers with a link, whoever wanted it: each gets heartbeats, as its view may make it expect them. */
	readonly #linked = new Set<string>();
	#outgoing: Outgoing[] = [];

	/** The names of the peers with a link. */
	get linked(): ReadonlySet<string> {
		return this.#linked;
	}

	/** Notes that a link came up. */
	linkUp(peer: string): void {
		this.#linked.add(peer);
	}

	/** Notes that a link ended. */
	linkDown(peer: string): void {
		this.#linked.delete(peer);
	}

	/** Leaves a message for a peer. */
	send(to: string, message: PeerMessage): void {
		this.#outgoing.push({to, message});
	}

	/** Leaves a message for every linked peer but one. */
	sendAll(message: PeerMessage, except = ''): void {
		for (const name of this.#linked) {
			if (name !== except) {
				this.send(name, message);
			}
		}
	}

	/** Gives what waits, and forgets it. */
	take(): Outgoing[] {
		const outgoing = this.#outgoing;
		this.#outgoing = [];
		return outgoing;
	}
}
