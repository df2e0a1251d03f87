/**
 * Decides what an instance does about the bytes that it holds for its callers: request bodies, and answers that callers have not
 * read. Callers that read slowly would otherwise make the process exceed its memory limit, and it would be killed with the requests
 * of all others.
 */
import {type ResourceHolder, SharedResource} from '../arrivals/shared-resource.js';
import {type MemoryLimits} from './memory-limits.js';

/** An answer whose unread bytes are counted. */
export type HeldAnswer = {
	/** Bytes that its caller has not read, at the last count. */
	bytes: number;
	/** Since when its caller has not read, in milliseconds of the steady clock; `undefined` while it reads. */
	pausedAt: number | undefined;
};

/** An answer is not ended before this time: a caller that reads empties its connection within a round trip. */
export const minPausedMilliseconds = 100;

/**
 * Memory of a request and its connection beside the bytes of its body, which is much where many small bodies arrive slowly. Each takes
 * 40 to 70 KB; three quarters of that are covered by the part of the memory that the hard limit leaves free.
 */
export const requestBytes = 16_384;
/** Longer bodies are long ones. They may have only a share of the memory for bodies, so that ordinary requests can still arrive. */
export const longBodyBytes = requestBytes + 65_536;
export const longBodyShare = 2 / 3;

export class HeldBytes<Answer extends HeldAnswer, Body extends ResourceHolder = ResourceHolder> {
	readonly limits: MemoryLimits;
	readonly #bodies = new SharedResource<Body>();
	#answerBytes = 0;
	/** In the order in which their callers stopped to read. */
	readonly #paused = new Set<Answer>();

	constructor(limits: MemoryLimits) {
		this.limits = limits;
	}

	get bodyBytes(): number {
		return this.#bodies.total;
	}

	get answerBytes(): number {
		return this.#answerBytes;
	}

	get bytes(): number {
		return this.bodyBytes + this.#answerBytes;
	}

	/** The answers whose callers do not read, the one that has been paused longest first. */
	get paused(): ReadonlySet<Answer> {
		return this.#paused;
	}

	/** Whether each answer is read from its endpoint only after its caller has taken what was read before. */
	get pausesAtOnce(): boolean {
		return this.bytes > this.limits.softBytes;
	}

	/**
	 * Returns by how much the bytes of a request body would exceed the limits. The only body that there is does not if answers hold little,
	 * so that a single request is served on every machine.
	 *
	 * @param body - The body; `undefined` for one that is not held yet.
	 * @param bytes - How many bytes it is to have.
	 * @returns Bytes; 0 or less if there is room.
	 */
	excessOfBody(body: Body | undefined, bytes: number): number {
		if (this.#bodies.isHeldOnlyBy(body) && this.#answerBytes <= this.limits.softBytes) {
			return 0;
		}

		const furtherBytes = bytes - this.bytesOfBody(body);
		const limit = bytes > longBodyBytes ? longBodyShare * this.limits.bodyBytes : this.limits.bodyBytes;
		return Math.max(this.bodyBytes + furtherBytes - limit, this.bytes + furtherBytes - this.limits.hardBytes);
	}

	/** The bytes of a request body; 0 if it is not held. */
	bytesOfBody(body: Body | undefined): number {
		return body === undefined ? 0 : this.#bodies.amountOf(body);
	}

	/** Sets the bytes of a request body; 0 if it is held no longer. */
	holdBody(body: Body, bytes: number): void {
		this.#bodies.hold(body, bytes);
	}

	/**
	 * Returns the bodies to refuse so that others get their memory: those that have not arrived and stand still.
	 *
	 * @param bytes - How many bytes are needed.
	 * @param now - Milliseconds of the steady clock.
	 * @returns The bodies, none if no bytes are needed; `undefined` if they do not hold enough.
	 */
	bodiesToRefuse(bytes: number, now: number): Body[] | undefined {
		return this.#bodies.selectDisplaced(bytes, now);
	}

	/** Sets the number of unread bytes of an answer. */
	count(answer: Answer, bytes: number): void {
		this.#answerBytes += bytes - answer.bytes;
		answer.bytes = bytes;
	}

	/** Records that the caller of an answer does not read at present. */
	pause(answer: Answer, now: number): void {
		if (answer.pausedAt === undefined) {
			answer.pausedAt = now;
			this.#paused.add(answer);
		}
	}

	/** Records that the caller of an answer has read all that was held for it, or that the answer has ended. */
	resume(answer: Answer): void {
		if (answer.pausedAt !== undefined) {
			answer.pausedAt = undefined;
			this.#paused.delete(answer);
		}
	}

	/**
	 * Returns the answer to end so that bytes fit under the hard limit: the one that has been paused longest.
	 *
	 * @param furtherBytes - Bytes to be held in addition.
	 * @param now - Milliseconds of the steady clock.
	 * @returns The answer; `undefined` if the bytes fit, or no answer that holds any has been paused for long enough.
	 */
	answerToEnd(furtherBytes: number, now: number): Answer | undefined {
		if (this.bytes + furtherBytes <= this.limits.hardBytes) {
			return undefined;
		}

		for (const answer of this.#paused) {
			if (now - (answer.pausedAt ?? now) < minPausedMilliseconds) {
				return undefined;
			}

			if (answer.bytes > 0) {
				return answer;
			}
		}

		return undefined;
	}
}
