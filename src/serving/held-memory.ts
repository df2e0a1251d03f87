/**
 * Counts the bytes that this process holds for its callers, and carries out what `decision/memory` decides about them.
 *
 * The count of an answer covers what node:http has not passed to the operating system (`writableLength` of the response, which
 * includes its socket) and what has been read ahead of its endpoint's body. Both only grow while nothing is called here, so the
 * answers whose callers do not read are counted again at an interval. Buffers of the operating system are not part of the process.
 */
import {type ServerResponse} from 'node:http';
import {HeldBytes, minPausedMilliseconds, requestBytes} from '../decision/memory/held-bytes.js';
import {type MemoryLimits} from '../decision/memory/memory-limits.js';
import {abortAnswer} from './abort-answer.js';
import {noteClose} from './connection-close.js';
import {HeldBody} from './held-body.js';
import {OpenAnswer} from './open-answer.js';

/** How often the answers whose callers do not read are counted again. The timer only runs while there are any. */
const recountMilliseconds = 100;
/** After its caller has read again, an endpoint that was held back needs some time to send. */
const resumedMilliseconds = 700;

/** What is held, and the limit that it is compared with, both in bytes. */
export type HeldState = {
	heldBytes: number;
	bodyBytes: number;
	limitBytes: number;
};

/** Called with the outcomes. */
export type MemoryReports = {
	/** The caller of an answer does not read while the soft limit is exceeded; once for each answer. */
	onPaused(): void;
	/** An answer has been ended. */
	onEnded(id: string, pausedMilliseconds: number, answerBytes: number, state: HeldState): void;
	/** A body that had not arrived has been refused, since others needed its memory. */
	onBodyRefused(): void;
};

export class HeldMemory {
	readonly #held: HeldBytes<OpenAnswer, HeldBody>;
	readonly #answers = new Map<ServerResponse, OpenAnswer>();
	readonly #now: () => number;
	readonly #reports: MemoryReports;
	#timer: NodeJS.Timeout | undefined;

	/**
	 * @param limits - The limits of this process.
	 * @param now - Returns milliseconds of the steady clock.
	 * @param reports - Called with the outcomes.
	 */
	constructor(limits: MemoryLimits, now: () => number, reports: MemoryReports) {
		this.#held = new HeldBytes(limits);
		this.#now = now;
		this.#reports = reports;
	}

	get bodyBytes(): number {
		return this.#held.bodyBytes;
	}

	get answerBytes(): number {
		return this.#held.answerBytes;
	}

	get state(): HeldState {
		return {heldBytes: this.#held.bytes, bodyBytes: this.#held.bodyBytes, limitBytes: this.#held.limits.hardBytes};
	}

	get pausesAtOnce(): boolean {
		return this.#held.pausesAtOnce;
	}

	/**
	 * Admits a new body.
	 *
	 * @param declaredBytes - Its length as far as it is declared.
	 * @returns `undefined` if there is no room for it.
	 */
	openBody(declaredBytes: number): HeldBody | undefined {
		if (!this.#makeRoomForBody(undefined, requestBytes + declaredBytes)) {
			return undefined;
		}

		const body = new HeldBody(this, this.#now);
		this.#held.holdBody(body, requestBytes);
		return body;
	}

	/** Sets how many bytes a body has. Returns false, and changes nothing, if there is no room. */
	holdBody(body: HeldBody, bytes: number): boolean {
		if (!this.#makeRoomForBody(body, bytes)) {
			return false;
		}

		this.#held.holdBody(body, bytes);
		return true;
	}

	releaseBody(body: HeldBody): void {
		this.#held.holdBody(body, 0);
	}

	/** The answer that is written to a response; it is counted until the response is closed. */
	answerTo(response: ServerResponse, id: string): OpenAnswer {
		let answer = this.#answers.get(response);
		if (answer === undefined) {
			answer = new OpenAnswer(this, id, response);
			if (response.destroyed) {
				// It holds nothing, and no event would end its count.
				answer.isEnded = true;
				return answer;
			}

			this.#answers.set(response, answer);
			response.once('close', () => {
				this.#remove(answer!);
				// Only now does the request know that its connection is closed, also where the answer was ended here.
				answer!.notifyWaiters();
			});
		}

		return answer;
	}

	/** The answer that is written to a response, if any of it was written and the response is not closed. */
	openAnswerTo(response: ServerResponse): OpenAnswer | undefined {
		return this.#answers.get(response);
	}

	/** Whether an answer is not read from its endpoint because its caller does not read, or was not until a moment ago. */
	isHeldBack(response: ServerResponse): boolean {
		const answer = this.#answers.get(response);
		return answer !== undefined && (answer.pausedAt !== undefined || this.#now() - answer.resumedAt < resumedMilliseconds);
	}

	noteWritten(answer: OpenAnswer, isPaused: boolean): void {
		this.#count(answer);
		if (isPaused && !answer.isEnded) {
			this.#held.pause(answer, this.#now());
			this.#timer ??= setInterval(() => {
				this.#recount();
			}, recountMilliseconds).unref();
		}

		this.#endAnswers(0);
	}

	noteRead(answer: OpenAnswer): void {
		if (answer.pausedAt !== undefined) {
			// A caller that reads takes each chunk within a round trip; its endpoint is not held back by that.
			const now = this.#now();
			answer.resumedAt = now - answer.pausedAt >= minPausedMilliseconds ? now : answer.resumedAt;
			this.#held.resume(answer);
			answer.notifyWaiters();
		}

		this.#count(answer);
	}

	#count(answer: OpenAnswer): void {
		if (!answer.isEnded) {
			this.#held.count(answer, answer.unreadBytes);
		}
	}

	#recount(): void {
		if (this.#held.paused.size === 0) {
			clearInterval(this.#timer);
			this.#timer = undefined;
			return;
		}

		for (const answer of this.#held.paused) {
			this.#count(answer);
			// No event tells this of an answer whose endpoint has ended it, or that was written below the high-water mark.
			if (answer.response.writableLength === 0) {
				this.noteRead(answer);
			} else if (!answer.isReportedPaused && this.pausesAtOnce) {
				answer.isReportedPaused = true;
				this.#reports.onPaused();
			}
		}

		this.#endAnswers(0);
	}

	/**
	 * Ends answers that nobody reads, and refuses bodies that stand still, so that a body fits. Returns false if it does not: a new body
	 * does not get the memory of answers, which is only free after the next garbage collection, before its caller returns.
	 */
	#makeRoomForBody(body: HeldBody | undefined, bytes: number): boolean {
		const excess = this.#held.excessOfBody(body, bytes);
		if (excess > 0) {
			this.#endAnswers(bytes - this.#held.bytesOfBody(body));
		}

		const refused = this.#held.bodiesToRefuse(body === undefined ? excess : this.#held.excessOfBody(body, bytes), this.#now());
		for (const other of refused ?? []) {
			other.refuse();
			this.#reports.onBodyRefused();
		}

		return refused !== undefined;
	}

	/** Ends the answers that have been paused longest until so many further bytes fit under the hard limit, unless they never will. */
	#endAnswers(furtherBytes: number): void {
		if (furtherBytes > this.#held.limits.bodyBytes) {
			return;
		}

		const now = this.#now();
		for (let answer = this.#held.answerToEnd(furtherBytes, now); answer !== undefined; answer = this.#held.answerToEnd(furtherBytes, now)) {
			const {state} = this;
			const {id, bytes, response} = answer;
			const pausedMilliseconds = now - (answer.pausedAt ?? now);
			answer.isEnded = true;
			this.#remove(answer);
			noteClose(response.req.socket, 'memory-limit');
			abortAnswer(response);
			this.#reports.onEnded(id, pausedMilliseconds, bytes, state);
		}
	}

	#remove(answer: OpenAnswer): void {
		this.#held.resume(answer);
		this.#held.count(answer, 0);
		this.#answers.delete(answer.response);
	}
}
