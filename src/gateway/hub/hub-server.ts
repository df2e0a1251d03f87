/**
 * The hub's side of the connections to its followers. Listens from the start, but takes followers only while this
 * instance holds the duty; what it tells them is then the duty's word.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type Server, type Socket} from 'node:net';
import {encodeFrame, FrameReader} from '../../peer/framing/frame-codec.js';
import {type MomentClock} from '../../ports/moment-clock.js';
import {afterNextPoll} from '../../serving/after-next-poll.js';
import {type Child} from '../../supervisor/supervisor.js';
import {type FeedNews, type FeedPlace} from '../watchers/feed-news.js';
import {
	type FollowerFrame, type HubFrame, idleTimeoutMilliseconds, type PackedLoad, type PartsAnswer, type PlaceQuestion,
} from './hub-messages.js';
import {LoadTotals} from './load-totals.js';

/** What the server asks the keeper of the duty. */
export interface HubSource {
	/** Whether this is the deputy, which keeps no stores. */
	readonly isDeputy: boolean;
	readonly dataCentre: string;
	/** Cores of this instance's machine. */
	readonly cores: number;
	/** Whether this instance holds the duty now. */
	isHub(): boolean;
	/** Whether followers are told anything, under the duty or for a while behind it. */
	isServing(): boolean;
	engineClock(): number | undefined;
	/** Stores that may be saved to and fetched from, and the tokens that they hold. */
	openStores(): Array<[store: string, heldTokens: number]>;
	/** Where the parts in question are kept; `requestsAt` gives the requests under way at an engine. */
	whereKept(question: PlaceQuestion, requestsAt: (engine: string) => number): PartsAnswer;
	/** What changed behind the places where a follower stands in the tables. */
	tableNews(places: Record<string, FeedPlace>): FeedNews[];
	takeUses(keys: readonly string[]): void;
}

/** A follower that does not read is dropped; it dials again and hears all anew. */
const mostWaitingBytes = 1_048_576;

const idleCheckMilliseconds = 400;

type Follower = {
	instance: string;
	cores: number;
	/** Of its last whole frame, on the steady clock, in milliseconds. */
	lastSeenAt: number;
};

export class HubServer implements Child {
	readonly name: string;
	readonly #address: string;
	readonly #source: HubSource;
	readonly #clock: MomentClock;
	readonly #server: Server;
	readonly #followers = new Map<Socket, Follower>();
	readonly #loads = new LoadTotals();

	/** @param address - `IP:port` to listen at. */
	constructor(address: string, source: HubSource, clock: MomentClock) {
		this.name = source.isDeputy ? 'hub-deputy-server' : 'hub-server';
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

	/** Ends all connections: this instance is the hub no longer. */
	dropAll(): void {
		for (const socket of this.#followers.keys()) {
			this.#drop(socket);
		}
	}

	#take(socket: Socket): void {
		if (!this.#source.isServing()) {
			socket.destroy();
			return;
		}

		const reader = new FrameReader();
		this.#followers.set(socket, {instance: '', cores: 0, lastSeenAt: this.#now()});
		socket.setNoDelay(true);
		const end = (): void => {
			this.#drop(socket);
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

		if (!this.#followers.has(socket)) {
			return;
		}

		const {instance, cores} = frame;
		this.#followers.set(socket, {instance, cores, lastSeenAt: this.#now()});
		this.#loads.set(instance, frame.loads);
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
				this.#drop(socket);
			}
		}
	}

	/** An instance that has dialled anew meanwhile is still told of by its new connection. */
	#drop(socket: Socket): void {
		const instance = this.#followers.get(socket)?.instance;
		this.#followers.delete(socket);
		socket.destroy();
		if (instance !== undefined && [...this.#followers.values()].every(follower => follower.instance !== instance)) {
			this.#loads.remove(instance);
		}
	}

	#answer(socket: Socket, {number, instance, about, loads, places}: FollowerFrame & {kind: 'ask'}): void {
		const clock = this.#source.engineClock();
		const parts = this.#source.whereKept(about, engine => this.#loads.requestsAt(engine));
		const endpoints = new Set([...about.endpoints, ...parts.engines, ...Object.keys(loads)]);
		const answer: HubFrame = {
			kind: 'answer',
			number,
			...(clock === undefined ? {} : {clock}),
			isDeputy: this.#source.isDeputy,
			dataCentre: this.#source.dataCentre,
			isLapsed: !this.#source.isHub(),
			open: this.#source.openStores(),
			loads: Object.fromEntries([...endpoints].map((endpoint): [string, PackedLoad] => [endpoint, this.#loads.withoutInstance(endpoint, instance)])),
			parts,
			tables: this.#source.tableNews(places),
			mostCores: this.#mostCores(),
			instances: this.#followers.size,
		};
		this.#write(socket, encodeFrame(answer));
	}

	#mostCores(): number {
		let most = this.#source.cores;
		for (const {cores} of this.#followers.values()) {
			most = Math.max(most, cores);
		}

		return most;
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
