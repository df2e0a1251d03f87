/**
 * Estimates how long requests of one lane wait, from the admissions that were observed while requests waited.
 *
 * The estimate is the time during which the queue was not empty, divided by the admissions from it. The rate of all
 * admissions would not do: below capacity it is the rate of arrivals, a few a second at one instance, although room is
 * found at once. Time that ended without an admission counts too, so a queue that admits nothing is soon known as such.
 * Old observations fade; once too few are left, the wait is unknown again, so that a lane that refused everything is tried again.
 */

/** Time over which observations fade: shorter than a burst, so that its end is noticed. */
const decayMilliseconds = 3000;
/** Admissions, or time without any, from which on the estimate counts as observed. */
const minAdmissions = 1;
const minContendedMilliseconds = 250;
/** Counts for admissions where none was observed. */
const unobservedAdmissions = 0.5;
/** Weight of the newest request in the usual time of service. */
const newestShare = 0.1;

export class WaitEstimate {
	/** Usual time from admission to the first byte of the answer, in milliseconds; 0 while it is unknown. */
	serviceMilliseconds = 0;
	#admissions = 0;
	#contendedMilliseconds = 0;
	#isContended = false;
	#updatedAt = 0;
	#observedAt: number | undefined;

	/** Records whether requests wait from now on. */
	setContended(isContended: boolean, now: number): void {
		this.#advance(now);
		this.#isContended = isContended;
	}

	/** Records that a queued request was admitted. */
	noteAdmitted(now: number): void {
		this.#advance(now);
		this.#admissions++;
		this.#observedAt = now;
	}

	/** Records the time from an admission to the first byte of the answer. */
	noteServed(milliseconds: number): void {
		const usual = this.serviceMilliseconds === 0 ? milliseconds : this.serviceMilliseconds;
		this.serviceMilliseconds = usual + (newestShare * (milliseconds - usual));
	}

	/** Time between two admissions from the queue, in milliseconds; `undefined` while too little was observed. */
	intervalMilliseconds(now: number): number | undefined {
		this.#advance(now);
		if (this.#admissions < minAdmissions && this.#contendedMilliseconds < minContendedMilliseconds) {
			return undefined;
		}

		return this.#contendedMilliseconds / Math.max(unobservedAdmissions, this.#admissions);
	}

	/** Time since the last observation, in milliseconds; `undefined` without any. */
	ageMilliseconds(now: number): number | undefined {
		return this.#observedAt === undefined ? undefined : now - this.#observedAt;
	}

	#advance(now: number): void {
		const kept = Math.exp((this.#updatedAt - now) / decayMilliseconds);
		this.#admissions *= kept;
		this.#contendedMilliseconds = (this.#contendedMilliseconds * kept) + (this.#isContended ? decayMilliseconds * (1 - kept) : 0);
		this.#updatedAt = now;
		if (this.#isContended) {
			this.#observedAt = now;
		}
	}
}
