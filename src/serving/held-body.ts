/** Counts the memory of one request body while it arrives and until its request has ended. */
import {arrivalDueAfter, bodyGraceMilliseconds} from '../decision/arrivals/arrival-due.js';
import {type ResourceHolder} from '../decision/arrivals/shared-resource.js';
import {requestBytes} from '../decision/memory/held-bytes.js';

/** What counts the bytes of bodies. */
export type BodyCount = {
	/** Sets how many bytes a body has. Returns false, and changes nothing, if there is no room. */
	holdBody(body: HeldBody, bytes: number): boolean;
	releaseBody(body: HeldBody): void;
};

/** The bytes of one request body, from the first one that arrives. */
export class HeldBody implements ResourceHolder {
	/** Only a body that is still arriving may be refused. */
	displacementRank: number | undefined = 0;
	dueAt: number;
	#bodyBytes = 0;
	#isReleased = false;
	readonly #memory: BodyCount;
	readonly #now: () => number;
	#onRefused: (() => void) | undefined;

	/** The memory of the request itself must be counted by who creates this. */
	constructor(memory: BodyCount, now: () => number) {
		this.#memory = memory;
		this.#now = now;
		this.dueAt = now() + bodyGraceMilliseconds;
	}

	/** Sets the number of bytes that are held; returns false, and counts none of the further ones, if there is no room. */
	hold(bytes: number): boolean {
		if (this.#isReleased || !this.#memory.holdBody(this, bytes + requestBytes)) {
			return false;
		}

		this.dueAt = arrivalDueAfter(this.dueAt, bytes - this.#bodyBytes, this.#now());
		this.#bodyBytes = bytes;
		return true;
	}

	/** Sets what is called when the body is refused because others need its memory. */
	whenRefused(onRefused: () => void): void {
		this.#onRefused = onRefused;
	}

	/** Called when others need its memory. */
	refuse(): void {
		this.release();
		this.#onRefused?.();
	}

	/** Records that the body has arrived; it is held until its request has ended. */
	complete(): void {
		this.displacementRank = undefined;
	}

	/** Records that the body is not held any more. */
	release(): void {
		this.#isReleased = true;
		this.#memory.releaseBody(this);
	}
}
