/** Keeps origins of streams for the other instances of the data centre, and answers their questions. */
import {Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {encodeFrame, FrameReader} from '../../peer/framing/frame-codec.js';
import {isSameKey} from '../../shared/is-same-key.js';
import {type Child} from '../../supervisor/supervisor.js';
import {PeerListener} from '../peers/peer-listener.js';
import {type OriginRecord} from './origin-records.js';
import {
	packAnswer, readRequest, unpackRecords, type PeerAnswer,
} from './stream-messages.js';
import {type StreamOrigin} from './stream-origin.js';

export type StreamServerDependencies = {
	/** `IP:port` to listen at. */
	address: string;
	/** What all instances share; `undefined` while this one does not know it. */
	key: () => string | undefined;
	/** Called with the records that a peer has sent. */
	onRecords: (records: readonly OriginRecord[]) => void;
	/** Returns what this instance knows about a stream. */
	answer: (key: string, service: string) => PeerAnswer;
};

/** The instances of a data centre, and those that have replaced some of them. */
const maxConnections = 256;
/** Peers close idle connections sooner; this is for one that has lost its power. */
const idleTimeoutMilliseconds = 90_000;
/** A peer that does not read its answers is disconnected. */
const maxQueuedBytes = 65_536;

export class StreamServer implements Child {
	readonly name = 'stream-server';
	readonly #dependencies: StreamServerDependencies;
	readonly #listener: PeerListener;

	constructor(dependencies: StreamServerDependencies) {
		this.#dependencies = dependencies;
		this.#listener = new PeerListener({
			address: dependencies.address,
			maxConnections,
			accept: (socket, noteOpened) => {
				this.#accept(socket, noteOpened);
			},
		});
	}

	async run(signal: AbortSignal): Promise<void> {
		await this.#listener.run(signal);
	}

	#accept(socket: Socket, noteOpened: () => void): void {
		const reader = new FrameReader();
		const origins = new Map<number, StreamOrigin>();
		let isPermitted = false;
		const end = (): void => {
			socket.destroy();
		};

		socket.on('timeout', end).on('data', (bytes: Uint8Array) => {
			reader.read(Buffer.from(bytes)).caseOf({
				Left: end,
				Right: frames => {
					for (const frame of frames) {
						if (isPermitted) {
							this.#handle(socket, origins, frame);
						} else if (this.#isOpening(frame)) {
							isPermitted = true;
							noteOpened();
							socket.setTimeout(idleTimeoutMilliseconds);
						} else {
							end();
						}

						if (socket.destroyed) {
							return;
						}
					}
				},
			});
		});
	}

	#isOpening(frame: unknown): boolean {
		const known = this.#dependencies.key();
		const [kind, key] = Array.isArray(frame) ? frame as unknown[] : [];
		return known !== undefined && kind === 'streams' && typeof key === 'string' && isSameKey(key, known);
	}

	#handle(socket: Socket, origins: Map<number, StreamOrigin>, frame: unknown): void {
		const request = readRequest(frame);
		switch (request?.[0]) {
			case 'define': {
				const [, number, service, softwareVersion] = request;
				origins.set(number, {service, softwareVersion});
				return;
			}

			case 'put': {
				const records = unpackRecords(request[1], origins);
				if (records === undefined) {
					socket.destroy();
					return;
				}

				this.#dependencies.onRecords(records);
				reply(socket, 0);
				return;
			}

			case 'ask': {
				const [, key, service] = request;
				reply(socket, packAnswer(this.#dependencies.answer(key.toString('base64url'), service)));
				return;
			}

			case undefined: {
				socket.destroy();
			}
		}
	}
}

function reply(socket: Socket, answer: ReturnType<typeof packAnswer>): void {
	socket.write(encodeFrame(answer));
	if (socket.writableLength > maxQueuedBytes) {
		socket.destroy();
	}
}
