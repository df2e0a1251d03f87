/** An answer in progress, whose unread bytes are counted. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type HeldAnswer} from '../decision/memory/held-bytes.js';

/** What counts the bytes of answers. */
export type AnswerCount = {
	readonly pausesAtOnce: boolean;
	noteWritten(answer: OpenAnswer, isPaused: boolean): void;
	noteRead(answer: OpenAnswer): void;
};

export class OpenAnswer implements HeldAnswer {
	bytes = 0;
	pausedAt: number | undefined;
	/** When its caller last read after a pause. */
	resumedAt = Number.NEGATIVE_INFINITY;
	isReportedPaused = false;
	isEnded = false;
	readonly id: string;
	readonly response: ServerResponse;
	readonly #memory: AnswerCount;
	#source: {body: IncomingMessage; heldBytes: () => number} | undefined;
	readonly #waiters = new Set<() => void>();

	constructor(memory: AnswerCount, id: string, response: ServerResponse) {
		this.#memory = memory;
		this.id = id;
		this.response = response;
	}

	/** Whether the next bytes may be read only after the caller has taken those that are written now. */
	get pausesAtOnce(): boolean {
		return this.#memory.pausesAtOnce;
	}

	/** What its caller has not got, in bytes: written to the response, held until it can be written, or read ahead. */
	get unreadBytes(): number {
		return this.response.writableLength + (this.#source === undefined ? 0 : this.#source.body.readableLength + this.#source.heldBytes());
	}

	/**
	 * Counts an endpoint's body that is being relayed.
	 *
	 * @param body - The body.
	 * @param heldBytes - Returns how many bytes were read of it and are not written yet.
	 */
	attach(body: IncomingMessage, heldBytes: () => number): void {
		this.#source = {body, heldBytes};
	}

	/** Ends the count of a body, unless another one has replaced it. */
	detach(body: IncomingMessage): void {
		if (this.#source?.body === body) {
			this.#source = undefined;
		}
	}

	/** Resolves when its caller has read all that was written, when its connection closes, or when the signal aborts. */
	async untilRead(signal: AbortSignal): Promise<void> {
		if (this.pausedAt === undefined || signal.aborted) {
			return;
		}

		return new Promise(resolve => {
			const finish = (): void => {
				this.#waiters.delete(finish);
				signal.removeEventListener('abort', finish);
				resolve();
			};

			this.#waiters.add(finish);
			signal.addEventListener('abort', finish, {once: true});
		});
	}

	/** Called when its caller has read, or its connection has closed. */
	notifyWaiters(): void {
		for (const finish of this.#waiters) {
			finish();
		}
	}

	/** Counts its bytes after some were written. */
	noteWritten(isPaused: boolean): void {
		this.#memory.noteWritten(this, isPaused);
	}

	/** Records that its caller has taken all that was written. */
	noteRead(): void {
		this.#memory.noteRead(this);
	}
}
