/**
 * A connection to a peer, which keeps origins of streams for this instance and answers its questions. It is closed when it is
 * idle, and when an answer is overdue: a connection may be silent for good while new ones work.
 */
import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {encodeFrame, FrameReader} from '../../peer/framing/frame-codec.js';
import {type OriginRecord} from './origin-records.js';
import {
	type DefinitionFrame, maxOriginNumbers, type OpenFrame, packRecord, type PeerAnswer, type QuestionFrame, type RecordsFrame, unpackAnswer,
} from './stream-messages.js';
import {type StreamOrigin} from './stream-origin.js';

/** A peer that has not answered for this long has failed. It is longer than a pause of a busy process. */
export const answerTimeoutMilliseconds = 600;
export const idleMilliseconds = 30_000;
/** Frames without an answer; a peer with more has failed. */
const maxPending = 1024;
/** A peer that does not read is disconnected. */
const maxQueuedBytes = 262_144;
/** Records in a frame, far below the limit of a frame. */
const maxBatchRecords = 1000;

/** A frame that has not been answered. */
type Pending = {sentAt: number} & ({kind: 'records'; records: readonly OriginRecord[]} | {kind: 'question'; key: string; answer: (answer: PeerAnswer | undefined) => void});

export type PeerConnectionDependencies = {
	/** The peer's `IP:port`. */
	address: string;
	/** What all instances share. */
	key: string;
	/**
	 * Called once, when the connection has ended other than for idleness: with the records that the peer may not have, and
	 * whether it has answered on this connection before.
	 */
	onFailed: (lost: readonly OriginRecord[], hasAnswered: boolean) => void;
};

export class PeerConnection {
	readonly #dependencies: PeerConnectionDependencies;
	readonly #socket: Socket;
	readonly #reader = new FrameReader();
	readonly #pending: Pending[] = [];
	/** The origins that the peer knows by number, by their names. */
	readonly #numbers = new Map<string, number>();
	#nextNumber = 0;
	#usedAt: number;
	#isClosed = false;
	#hasAnswered = false;

	/** @param now - The present time in milliseconds of the steady clock, as in all methods. */
	constructor(dependencies: PeerConnectionDependencies, now: number) {
		const {address, key} = dependencies;
		this.#dependencies = dependencies;
		this.#usedAt = now;
		const separator = address.lastIndexOf(':');
		this.#socket = connect({host: address.slice(0, separator), port: Number(address.slice(separator + 1)), noDelay: true});
		const fail = (): void => {
			this.#fail();
		};

		this.#socket.on('error', fail).on('close', fail).on('data', (bytes: Uint8Array) => {
			this.#reader.read(Buffer.from(bytes)).caseOf({
				Left: fail,
				Right: frames => {
					for (const frame of frames) {
						this.#handleAnswer(frame);
					}
				},
			});
		});
		this.#socket.write(encodeFrame(['streams', key] satisfies OpenFrame));
	}

	get isClosed(): boolean {
		return this.#isClosed;
	}

	/** Sends records; those that the peer has not confirmed when the connection ends are handed back. */
	send(records: readonly OriginRecord[], now: number): void {
		for (let start = 0; start < records.length && !this.#isClosed; start += maxBatchRecords) {
			const batch = records.slice(start, start + maxBatchRecords);
			const packed = batch.map(record => packRecord(record, this.#numberOf(record.origin)));
			this.#write(['put', Buffer.concat(packed)] satisfies RecordsFrame, {kind: 'records', records: batch, sentAt: now});
		}
	}

	/**
	 * Asks at which version a stream began.
	 *
	 * @param timeoutMilliseconds - How long the answer is waited for.
	 * @returns The answer; `undefined` without one in time.
	 */
	async ask(key: string, service: string, timeoutMilliseconds: number, now: number): Promise<PeerAnswer | undefined> {
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				resolve(undefined);
			}, timeoutMilliseconds);
			const answer = (given: PeerAnswer | undefined): void => {
				clearTimeout(timer);
				resolve(given);
			};

			this.#write(['ask', Buffer.from(key, 'base64url'), service] satisfies QuestionFrame, {
				kind: 'question', key, answer, sentAt: now,
			});
		});
	}

	/**
	 * By when to check the connection, in milliseconds of the steady clock. While it is in use that is within the time for an answer,
	 * so that no check has to be planned for each frame.
	 */
	nextCheckAt(now: number): number {
		const [oldest] = this.#pending;
		if (oldest !== undefined) {
			return oldest.sentAt + answerTimeoutMilliseconds + 1;
		}

		return now - this.#usedAt < answerTimeoutMilliseconds ? now + answerTimeoutMilliseconds : this.#usedAt + idleMilliseconds + 1;
	}

	/** Closes the connection if it is idle, or if an answer is overdue. */
	check(now: number): void {
		const [oldest] = this.#pending;
		if (oldest !== undefined && now - oldest.sentAt > answerTimeoutMilliseconds) {
			this.#fail();
		} else if (oldest === undefined && now - this.#usedAt > idleMilliseconds) {
			this.close();
		}
	}

	/** Closes the connection without an answer to what is pending. */
	close(): void {
		this.#isClosed = true;
		this.#socket.destroy();
		for (const pending of this.#pending.splice(0)) {
			if (pending.kind === 'question') {
				pending.answer(undefined);
			}
		}
	}

	#fail(): void {
		if (!this.#isClosed) {
			const lost = this.#pending.flatMap(pending => pending.kind === 'records' ? pending.records : []);
			this.close();
			this.#dependencies.onFailed(lost, this.#hasAnswered);
		}
	}

	#write(frame: RecordsFrame | QuestionFrame, pending: Pending): void {
		if (this.#isClosed) {
			if (pending.kind === 'question') {
				pending.answer(undefined);
			}

			return;
		}

		this.#usedAt = pending.sentAt;
		this.#pending.push(pending);
		this.#socket.write(encodeFrame(frame));
		if (this.#pending.length > maxPending || this.#socket.writableLength > maxQueuedBytes) {
			this.#fail();
		}
	}

	#handleAnswer(frame: unknown): void {
		const pending = this.#pending.shift();
		const answer = pending?.kind === 'question' ? unpackAnswer(frame, pending.key) : undefined;
		if (pending === undefined || (answer === undefined && frame !== 0)) {
			if (pending !== undefined) {
				this.#pending.unshift(pending);
			}

			this.#fail();
			return;
		}

		this.#hasAnswered = true;
		if (pending.kind === 'question') {
			pending.answer(answer);
		}
	}

	/** Returns the number of an origin, and defines it if the peer does not know it. */
	#numberOf(origin: StreamOrigin): number {
		const {service, softwareVersion} = origin;
		const name = JSON.stringify([service, softwareVersion]);
		const known = this.#numbers.get(name);
		if (known !== undefined) {
			return known;
		}

		if (this.#numbers.size >= maxOriginNumbers) {
			this.#numbers.clear();
			this.#nextNumber = 0;
		}

		const number = this.#nextNumber++;
		this.#numbers.set(name, number);
		this.#socket.write(encodeFrame(['define', number, service, softwareVersion] satisfies DefinitionFrame));
		return number;
	}
}
