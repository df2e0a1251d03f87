/**
 * One TCP connection to a peer: each side sends a hello, the proof of the shared secret, and then messages. Messages that
 * cannot be sent fast enough are dropped and counted, since each of them is either sent again periodically or queried again.
 */
import {type Buffer} from 'node:buffer';
import {createHmac, randomUUID} from 'node:crypto';
import {type Socket} from 'node:net';
import {createMessageReader, encodeMessage} from '../message/message-codec.js';
import {
	type Hello, type MemberUpdate, negotiateVersion, type PeerMessage, peerMessageKinds, type VersionRange,
} from '../message/peer-message.js';

/** Maximum number of bytes queued in a connection. A peer that reads nothing costs no more memory than this. */
export const queueLimitBytes = 262_144;

/** How long the other side may take for its hello and its proof. */
export const helloTimeoutMilliseconds = 3000;

/** Counts of all links of one instance, for measurements and operators. */
export type LinkCounts = {
	bytesIn: number;
	bytesOut: number;
	messagesIn: number;
	messagesOut: number;
	dropped: number;
	unknownKinds: number;
};

/** The owner of links: provides what they need, and is notified of their events. */
export interface LinkOwner {
	readonly versions: VersionRange;
	/** The same on all instances; a process that does not know it is not accepted as a peer. */
	readonly secret: string;
	self(): MemberUpdate;
	linkReady(link: PeerLink): void;
	linkMessage(link: PeerLink, message: PeerMessage): void;
	linkClosed(link: PeerLink, reason: string): void;
}

export class PeerLink {
	/** The peer as its hello describes it; undefined until it has proved that it knows the secret. */
	peer: MemberUpdate | undefined;
	/** The negotiated protocol version; 0 until the hello. */
	version = 0;
	readonly dialled: boolean;
	/** How many messages were received; the service closes a link on which this number does not grow. */
	received = 0;
	readonly #socket: Socket;
	readonly #owner: LinkOwner;
	readonly #counts: LinkCounts;
	readonly #reader = createMessageReader();
	readonly #challenge = randomUUID();
	readonly #helloTimer: NodeJS.Timeout;
	#hello: Hello | undefined;
	#closeReason = 'connection ended';

	/**
	 * @param socket - A connection that is open or being opened.
	 * @param dialled - Whether this side opened it.
	 * @param owner - Is notified of the link's events.
	 * @param counts - Incremented in place.
	 */
	constructor(socket: Socket, dialled: boolean, owner: LinkOwner, counts: LinkCounts) {
		this.#socket = socket;
		this.dialled = dialled;
		this.#owner = owner;
		this.#counts = counts;
		socket.setNoDelay(true);
		// An idle timeout of the socket would not do, since a peer could extend it with a byte now and then.
		this.#helloTimer = setTimeout(() => {
			this.close('timed out before the proof');
		}, helloTimeoutMilliseconds);
		socket.on('data', bytes => {
			this.#handleBytes(bytes);
		});
		socket.on('error', error => {
			this.#closeReason = String(error);
		});
		socket.on('close', () => {
			clearTimeout(this.#helloTimer);
			owner.linkClosed(this, this.#closeReason);
		});
		if (dialled) {
			socket.on('connect', () => {
				this.#sendHello();
			});
		} else {
			this.#sendHello();
		}
	}

	/** Sends a message, or drops it while the queue is full. */
	send(message: PeerMessage): void {
		this.sendFrame(encodeMessage(message));
	}

	/** Sends an encoded message, so that a message for many peers is encoded only once. */
	sendFrame(frame: Buffer): void {
		if (this.#socket.writableLength + frame.length > queueLimitBytes) {
			this.#counts.dropped++;
			return;
		}

		this.#counts.messagesOut++;
		this.#counts.bytesOut += frame.length;
		this.#socket.write(frame);
	}

	/** Closes the connection at once. */
	close(reason: string): void {
		this.#closeReason = reason;
		this.#socket.destroy();
	}

	/** Closes the connection after the queued messages. */
	end(): void {
		this.#closeReason = 'ended';
		this.#socket.end();
	}

	#sendHello(): void {
		this.send({
			kind: 'hello', versions: this.#owner.versions, from: this.#owner.self(), challenge: this.#challenge,
		});
	}

	#handleBytes(bytes: Buffer): void {
		this.#counts.bytesIn += bytes.length;
		this.#reader.read(bytes).caseOf({
			Left: error => {
				this.close(`broken frame: ${error.kind}`);
			},
			Right: values => {
				this.#handleMessages(values);
			},
		});
	}

	#handleMessages(values: readonly unknown[]): void {
		try {
			for (const value of values) {
				this.#handleMessage(value);
			}
		} catch (error) {
			// A message of a faulty release, with missing members or members of another type, would otherwise crash the process
			// and with it the data path. Only the link is closed.
			this.close(`malformed message: ${String(error)}`);
		}
	}

	#handleMessage(value: unknown): void {
		this.#counts.messagesIn++;
		this.received++;
		const kind = typeof value === 'object' && value !== null && 'kind' in value ? String(value.kind) : '';
		if (!peerMessageKinds.has(kind)) {
			// A newer release may send kinds that this one does not know; the negotiated version makes this harmless.
			this.#counts.unknownKinds++;
			return;
		}

		const message = value as PeerMessage;
		if (message.kind === 'hello') {
			this.#handleHello(message);
		} else if (message.kind === 'proof') {
			this.#verifyProof(message.digest);
		} else if (this.peer === undefined) {
			this.close('message before the proof of the shared secret');
		} else {
			this.#owner.linkMessage(this, message);
		}
	}

	#handleHello(hello: Hello): void {
		const version = negotiateVersion(this.#owner.versions, hello.versions);
		if (version === undefined) {
			this.close(`no common protocol version: peer speaks ${hello.versions.least} to ${hello.versions.newest}`);
			return;
		}

		this.version = version;
		this.#hello = hello;
		this.send({kind: 'proof', digest: this.#proofOf(this.#owner.self().name, hello.challenge)});
	}

	/**
	 * Checks the peer's proof. Peers supply the configuration, so without it any process that can connect could bring its own
	 * configuration into force. The proof covers this side's challenge, so that a proof recorded on another link is useless.
	 */
	#verifyProof(digest: string): void {
		const hello = this.#hello;
		if (hello === undefined || digest !== this.#proofOf(hello.from.name, this.#challenge)) {
			this.close('wrong proof of the shared secret');
			return;
		}

		this.peer = hello.from;
		clearTimeout(this.#helloTimer);
		this.#owner.linkReady(this);
	}

	#proofOf(name: string, challenge: string): string {
		return createHmac('sha256', this.#owner.secret).update(`peer-link|${name}|${challenge}`).digest('hex');
	}
}
