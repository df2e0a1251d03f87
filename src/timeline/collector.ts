/** Collects the events of all processes into one time line. It keeps a bounded number of events, newest last. */
import {once} from 'node:events';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {type TimelineEvent} from '../observability/timeline-event.js';
import {type TimelineBatch} from '../observability/timeline-sender.js';
import {FrameReader} from '../peer/framing/frame-codec.js';

const keptEvents = 200_000;

export class TimelineCollector {
	readonly #server: Server;
	readonly #onEvent: (event: TimelineEvent) => void;
	#events: TimelineEvent[] = [];

	/** @param onEvent - Called with each event as it arrives. */
	constructor(onEvent: (event: TimelineEvent) => void) {
		this.#onEvent = onEvent;
		this.#server = createServer(socket => {
			this.#receive(socket);
		});
	}

	/** The events kept, in order of time. */
	events(): TimelineEvent[] {
		return this.#events.toSorted((left, right) => left.at - right.at || left.sequence - right.sequence);
	}

	async listen(host: string, port: number): Promise<string> {
		this.#server.listen(port, host);
		await once(this.#server, 'listening');
		return `${host}:${(this.#server.address() as AddressInfo).port}`;
	}

	close(): void {
		this.#server.close();
	}

	#receive(socket: Socket): void {
		const reader = new FrameReader();
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
						this.#take(value as TimelineBatch);
					}
				},
			});
		});
	}

	#take(batch: TimelineBatch): void {
		this.#events.push(...batch.events);
		if (this.#events.length > keptEvents) {
			this.#events = this.#events.slice(-keptEvents);
		}

		for (const event of batch.events) {
			this.#onEvent(event);
		}
	}
}
