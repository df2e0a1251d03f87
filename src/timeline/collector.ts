/**
 * Collects the events of all processes over TCP frames, and answers readers on the same listener. Its memory is bounded:
 * events that a slow follower cannot receive in time are skipped and counted.
 */
import {once} from 'node:events';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {type TimelineEvent} from '../observability/timeline-event.js';
import {type TimelineBatch} from '../observability/timeline-sender.js';
import {encodeFrame, FrameReader} from '../peer/framing/frame-codec.js';
import {type EventStore} from './event-store.js';
import {matchesFilter} from './matches-filter.js';
import {parseTimelineMessage, type TimelineQuery, type TimelineReply} from './timeline-messages.js';

const maxConnections = 4096;
const eventsPerReply = 500;

type Follower = {
	socket: Socket;
	query: TimelineQuery;
	skipped: number;
};

export class TimelineCollector {
	readonly #server: Server;
	readonly #store: EventStore;
	readonly #onBatch: (batch: TimelineBatch) => void;
	readonly #followers = new Set<Follower>();
	readonly #sockets = new Set<Socket>();

	/**
	 * @param store - Holds the collected events.
	 * @param onBatch - Called with each batch after it was added to the store.
	 */
	constructor(store: EventStore, onBatch: (batch: TimelineBatch) => void) {
		this.#store = store;
		this.#onBatch = onBatch;
		this.#server = createServer(socket => {
			this.#receive(socket);
		});
		this.#server.maxConnections = maxConnections;
	}

	/** Starts to listen. Resolves with the address as `IP:port`. */
	async listen(host: string, port: number): Promise<string> {
		this.#server.listen(port, host);
		await once(this.#server, 'listening');
		return `${host}:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Stops listening and ends all connections. */
	async close(): Promise<void> {
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		await once(this.#server, 'close');
	}

	#receive(socket: Socket): void {
		const reader = new FrameReader();
		this.#sockets.add(socket);
		socket.once('close', () => {
			this.#sockets.delete(socket);
		});
		socket.on('error', () => {
			socket.destroy();
		});
		socket.on('data', bytes => {
			reader.read(bytes).caseOf({
				Left() {
					socket.destroy();
				},
				Right: values => {
					for (const value of values) {
						this.#handleMessage(value, socket);
					}
				},
			});
		});
	}

	#handleMessage(value: unknown, socket: Socket): void {
		const message = parseTimelineMessage(value);
		if (message === undefined) {
			socket.destroy();
		} else if (message.kind === 'batch') {
			this.#store.add(message.batch);
			this.#onBatch(message.batch);
			this.#publish(message.batch.events);
		} else {
			void this.#answerQuery(socket, message.query);
		}
	}

	async #answerQuery(socket: Socket, query: TimelineQuery): Promise<void> {
		const events = this.#store.events(query.query);
		// The follower is registered together with the snapshot, so that it misses no event between the two.
		const follower = {socket, query, skipped: 0};
		if (query.follow) {
			this.#followers.add(follower);
			socket.once('close', () => {
				this.#followers.delete(follower);
			});
		}

		for (let from = 0; from < events.length && !socket.destroyed; from += eventsPerReply) {
			await this.#reply(socket, {events: events.slice(from, from + eventsPerReply), isComplete: false});
		}

		await this.#reply(socket, {events: [], isComplete: true});
		if (!query.follow) {
			socket.end();
		}
	}

	/** Writes a reply, and waits until the reader has caught up or disconnected. */
	async #reply(socket: Socket, {events, isComplete}: Pick<TimelineReply, 'events' | 'isComplete'>): Promise<void> {
		const reply: TimelineReply = {
			events, missing: isComplete ? this.#store.missing() : [], skipped: 0, isComplete,
		};
		if (!socket.destroyed && !socket.write(encodeFrame(reply))) {
			await Promise.race([once(socket, 'drain'), once(socket, 'close')]);
		}
	}

	#publish(events: readonly TimelineEvent[]): void {
		for (const follower of this.#followers) {
			const wanted = events.filter(event => matchesFilter(event, follower.query.query));
			if (wanted.length === 0) {
				continue;
			}

			// Buffering for a follower that does not read would use unbounded memory, so its events are only counted.
			if (follower.socket.writableNeedDrain) {
				follower.skipped += wanted.length;
				continue;
			}

			const reply: TimelineReply = {
				events: wanted, missing: this.#store.missing(), skipped: follower.skipped, isComplete: true,
			};
			follower.socket.write(encodeFrame(reply));
		}
	}
}
