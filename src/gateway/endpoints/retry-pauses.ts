/** Pauses between repeated questions about the same subject; each failure doubles the next pause. */

type Pause = {nextAt: number; milliseconds: number};

export class RetryPauses {
	readonly #pauses = new Map<string, Pause>();
	readonly #bounds: {firstMilliseconds: number; maxMilliseconds: number};

	constructor(bounds: {firstMilliseconds: number; maxMilliseconds: number}) {
		this.#bounds = bounds;
	}

	get size(): number {
		return this.#pauses.size;
	}

	/** Whether a subject may be asked about, at a time of the steady clock in milliseconds. */
	isDue(subject: string, now: number): boolean {
		return now >= (this.#pauses.get(subject)?.nextAt ?? 0);
	}

	noteFailed(subject: string, now: number): void {
		const last = this.#pauses.get(subject)?.milliseconds;
		const milliseconds = last === undefined ? this.#bounds.firstMilliseconds : Math.min(this.#bounds.maxMilliseconds, 2 * last);
		this.#pauses.set(subject, {nextAt: now + milliseconds, milliseconds});
	}

	forget(subject: string): void {
		this.#pauses.delete(subject);
	}

	/** Forgets all subjects but these. */
	retain(subjects: ReadonlySet<string>): void {
		for (const subject of this.#pauses.keys()) {
			if (!subjects.has(subject)) {
				this.#pauses.delete(subject);
			}
		}
	}
}
