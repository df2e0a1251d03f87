/**
 * The hub's side of the connections to its followers. Listens from the start, but takes followers only while this
 * instance holds the duty; what it tells them is then the duty's word.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type Server, type Socket} from 'node:net';
import {addLoads, type EndpointLoad, noLoad} from '../../decision/placement/endpoint-load.js';
import {encodeFrame, FrameReader} from '../../peer/framing/frame-codec.js';
import {type MomentClock} from '../../ports/moment-clock.js';
import {afterNextPoll} from '../../serving/after-next-poll.js';
import {type Child} from '../../supervisor/supervisor.js';
import {
	type FollowerFrame, type HubFrame, idleTimeoutMilliseconds, type PackedLoad, packLoads, unpackLoad,
} from './hub-messages.js';

/** What the server asks the keeper of the duty. */
export interface HubSource {
	/** Whether this instance holds the duty now. */
	isHub(): boolean;
	/** Whether followers are told anything, under the duty or for a while behind it. */
	isServing(): boolean;
	engineClock(): number | undefined;
	openStores(): string[];
	/** Engines whose parts are told and up to date. */
	knownEngines(): string[];
	/** All that a new follower has to hear. */
	snapshot(): Array<HubFrame & {kind: 'parts'}>;
	takeUses(keys: readonly string[]): void;
}

/** A follower that does not read is dropped; it dials again and hears all anew. */
const mostWaitingBytes = 1_048_576;

const idleCheckMilliseconds = 400;

type Follower = {
	instance: string;
	loads: Record<string, PackedLoad>;
	/** Of its last whole frame, on the steady clock, in milliseconds. */
	lastSeenAt: number;
};

export class HubServer implements Child {
	readonly name = 'hub-server';
	readonly #address: string;
	readonly #source: HubSource;
	readonly #clock: MomentClock;
	readonly #server: Server;
	readonly #followers = new Map<Socket, Follower>();

	/** @param address - `IP:port` to listen at. */
	constructor(address: string, source: HubSource, clock: MomentClock) {
		this.#address = address;
		this.#source = source;
		this.#clock = clock;
		this.#server = createServer(socket => {
			this.#take(socket);
		});
	}

	async run(signal: AbortSignal): Promise<void> {
		const separator = this.#address.lastIndexOf(':');
		this.#server.listen(Number(this.#address.slice(separator + 1)), this.#address.slice(0, separator));
		await once(this.#server, 'listening');
		const check = setInterval(() => {
			void this.#closeIdle();
		}, idleCheckMilliseconds);
		if (!signal.aborted) {
			await once(signal, 'abort');
		}

		clearInterval(check);

		this.dropAll();
		this.#server.close();
	}

	/** Tells all followers. */
	broadcast(frame: HubFrame & {kind: 'parts'}): void {
		if (frame.added.length === 0 && frame.removed.length === 0) {
			return;
		}

		const bytes = encodeFrame(frame);
		for (const socket of this.#followers.keys()) {
			this.#write(socket, bytes);
		}
	}

	/** Ends all connections: this instance is the hub no longer. */
	dropAll(): void {
		for (const socket of this.#followers.keys()) {
			socket.destroy();
		}

		this.#followers.clear();
	}

	#take(socket: Socket): void {
		if (!this.#source.isServing()) {
			socket.destroy();
			return;
		}

		const reader = new FrameReader();
		this.#followers.set(socket, {instance: '', loads: {}, lastSeenAt: this.#now()});
		socket.setNoDelay(true);
		for (const frame of this.#source.snapshot()) {
			this.#write(socket, encodeFrame(frame));
		}

		const end = (): void => {
			this.#followers.delete(socket);
			socket.destroy();
		};

		socket.on('data', (bytes: Uint8Array) => {
			reader.read(Buffer.from(bytes)).caseOf({
				Left: end,
				Right: frames => {
					for (const frame of frames) {
						this.#hear(socket, frame as FollowerFrame);
					}
				},
			});
		});
		socket.on('error', end).on('close', end);
	}

	#hear(socket: Socket, frame: FollowerFrame): void {
		if (!this.#source.isServing()) {
			socket.destroy();
			return;
		}

		this.#followers.set(socket, {instance: frame.instance, loads: frame.loads, lastSeenAt: this.#now()});
		this.#source.takeUses(frame.uses);
		if (frame.kind === 'ask') {
			this.#answer(socket, frame);
		}
	}

	/**
	 * Closes connections that are idle for too long. An instance that lost its power or was cut off closes none, and what it
	 * had under way would weigh on its endpoints for as long as TCP goes on trying. What came while this process stood still
	 * is read first, or it would close all of them.
	 */
	async #closeIdle(): Promise<void> {
		await afterNextPoll();
		const now = this.#now();
		for (const [socket, {lastSeenAt}] of this.#followers) {
			if (now - lastSeenAt > idleTimeoutMilliseconds) {
				this.#followers.delete(socket);
				socket.destroy();
			}
		}
	}

	#answer(socket: Socket, {number, instance}: FollowerFrame & {kind: 'ask'}): void {
		const clock = this.#source.engineClock();
		const answer: HubFrame = {
			kind: 'answer',
			number,
			...(clock === undefined ? {} : {clock}),
			isLapsed: !this.#source.isHub(),
			open: this.#source.openStores(),
			engines: this.#source.knownEngines(),
			loads: this.#loadsWithout(instance),
		};
		this.#write(socket, encodeFrame(answer));
	}

	#loadsWithout(instance: string): Record<string, PackedLoad> {
		const sums = new Map<string, EndpointLoad>();
		for (const follower of this.#followers.values()) {
			if (follower.instance === instance) {
				continue;
			}

			for (const [endpoint, packed] of Object.entries(follower.loads)) {
				sums.set(endpoint, addLoads(sums.get(endpoint) ?? noLoad, unpackLoad(packed)));
			}
		}

		return packLoads(sums);
	}

	#now(): number {
		return this.#clock.moment().steady;
	}

	#write(socket: Socket, bytes: Uint8Array): void {
		if (socket.writableLength > mostWaitingBytes) {
			socket.destroy();
			return;
		}

		socket.write(bytes);
	}
}
