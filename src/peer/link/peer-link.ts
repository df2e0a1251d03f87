/**
 * One TCP connection to a peer: hello first, then the proof of the shared secret, then messages. What cannot be sent fast enough is dropped and counted, as
 * every message is either repeated by itself or asked for again.
 */
import {type Buffer} from 'node:buffer';
import {createHmac, randomUUID} from 'node:crypto';
import {type Socket} from 'node:net';
import {createMessageReader, encodeMessage} from '../message/message-codec.js';
import {
	type Hello, type MemberRumour, negotiatedVersion, type PeerMessage, peerMessageKinds, type VersionRange,
} from '../message/peer-message.js';

/** Most bytes that wait in a connection. A peer that reads nothing costs no more memory than this. */
export const queueLimitBytes = 262_144;

/** How long the other side may take to say hello. */
export const helloTimeoutMilliseconds = 3000;

/** What passed over the links of one instance, for measurements and operators. */
export type LinkCounts = {
	bytesIn: number;
	bytesOut: number;
	messagesIn: number;
	messagesOut: number;
	dropped: number;
	unknownKinds: number;
};

/** What a link tells its owner. */
export interface LinkOwner {
	readonly versions: VersionRange;
	/** The same on all instances; whoever does not know it is no peer. */
	readonly secret: string;
	self(): MemberRumour;
	linkReady(link: PeerLink): void;
	linkMessage(link: PeerLink, message: PeerMessage): void;
	linkClosed(link: PeerLink, reason: string): void;
}

export class PeerLink {
	/** The peer as its hello gave it; undefined until it has proved that it is one. */
	peer: MemberRumour | undefined;
	/** The protocol version that both speak; 0 until the hello. */
	version = 0;
	readonly dialled: boolean;
	/** How many messages came in; a shell that sees it stand still closes the link. */
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
	 * @param owner - Who is told.
	 * @param counts - Counted up in place.
	 */
	constructor(socket: Socket, dialled: boolean, owner: LinkOwner, counts: LinkCounts) {
		this.#socket = socket;
		this.dialled = dialled;
		this.#owner = owner;
		this.#counts = counts;
		socket.setNoDelay(true);
		// Not an idle timeout of the socket, which a peer could put off with a byte now and then.
		this.#helloTimer = setTimeout(() => {
			this.close('no hello in time');
		}, helloTimeoutMilliseconds);
		socket.on('data', bytes => {
			this.#take(bytes);
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
				this.#sayHello();
			});
		} else {
			this.#sayHello();
		}
	}

	/** Sends a message, or drops it while too much is waiting. */
	send(message: PeerMessage): void {
		this.sendFrame(encodeMessage(message));
	}

	/** Sends an encoded message, so that one for many peers is encoded once. */
	sendFrame(frame: Buffer): void {
		if (this.#socket.writableLength + frame.length > queueLimitBytes) {
			this.#counts.dropped++;
			return;
		}

		this.#counts.messagesOut++;
		this.#counts.bytesOut += frame.length;
		this.#socket.write(frame);
	}

	/** Ends the connection. */
	close(reason: string): void {
		this.#closeReason = reason;
		this.#socket.destroy();
	}

	/** Ends the connection behind what was sent. */
	end(): void {
		this.#closeReason = 'ended';
		this.#socket.end();
	}

	#sayHello(): void {
		this.send({
			kind: 'hello', versions: this.#owner.versions, from: this.#owner.self(), challenge: this.#challenge,
		});
	}

	#take(bytes: Buffer): void {
		this.#counts.bytesIn += bytes.length;
		this.#reader.read(bytes).caseOf({
			Left: error => {
				this.close(`broken frame: ${error.kind}`);
			},
			Right: values => {
				this.#takeAll(values);
			},
		});
	}

	#takeAll(values: readonly unknown[]): void {
		try {
			for (const value of values) {
				this.#takeMessage(value);
			}
		} catch (error) {
			// A message with members missing or of another type, from a faulty release, would otherwise end the process and
			// with it the data path. The link is of no use, but nothing else is touched.
			this.close(`malformed message: ${String(error)}`);
		}
	}

	#takeMessage(value: unknown): void {
		this.#counts.messagesIn++;
		this.received++;
		const kind = typeof value === 'object' && value !== null && 'kind' in value ? String(value.kind) : '';
		if (!peerMessageKinds.has(kind)) {
			// A newer release may say more than this one understands; the negotiated version makes that harmless.
			this.#counts.unknownKinds++;
			return;
		}

		const message = value as PeerMessage;
		if (message.kind === 'hello') {
			this.#takeHello(message);
		} else if (message.kind === 'proof') {
			this.#takeProof(message.digest);
		} else if (this.peer === undefined) {
			this.close('message before the proof');
		} else {
			this.#owner.linkMessage(this, message);
		}
	}

	#takeHello(hello: Hello): void {
		const version = negotiatedVersion(this.#owner.versions, hello.versions);
		if (version === undefined) {
			this.close(`no common protocol version: peer speaks ${hello.versions.least} to ${hello.versions.newest}`);
			return;
		}

		this.version = version;
		this.#hello = hello;
		this.send({kind: 'proof', digest: this.#proofOf(this.#owner.self().name, hello.challenge)});
	}

	/**
	 * Configuration is taken from peers, so whoever can connect could otherwise bring a configuration of its own into
	 * force. The proof covers this side's challenge, so that one overheard on another link is worth nothing.
	 */
	#takeProof(digest: string): void {
		const hello = this.#hello;
		if (hello === undefined || digest !== this.#proofOf(hello.from.name, this.#challenge)) {
			this.close('no proof of the shared secret');
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
