/**
 * The rests that endpoints have asked for when they rejected requests: until one is over, its endpoint gets none.
 *
 * Afterwards requests are let through one by one until the endpoint accepts one. Otherwise all that came in meanwhile would
 * reach it at once, since an endpoint without requests looks idle.
 *
 * Rests are kept by incarnation of the endpoint. All times are milliseconds of the steady clock.
 */

/** How long a request that follows a rest keeps others away, unless its answer arrives sooner. */
const trialMilliseconds = 300;
/** Far more than endpoints rest at a time; the rest that was asked for longest ago is dropped first. */
const maxRests = 1000;

type Rest = {
	until: number;
	/** Until when the answer to a request after the rest is awaited. */
	trialUntil: number;
};

export class EndpointRests {
	readonly #rests = new Map<string, Rest>();

	/**
	 * Records that an endpoint has asked for a rest. Where it has asked before, the later end counts.
	 *
	 * @param incarnation - The endpoint.
	 * @param milliseconds - How long it is to rest.
	 * @param now - When its answer arrived.
	 */
	request(incarnation: string, milliseconds: number, now: number): void {
		const until = Math.max(now + milliseconds, this.#rests.get(incarnation)?.until ?? 0);
		this.#rests.delete(incarnation);
		this.#rests.set(incarnation, {until, trialUntil: 0});
		if (this.#rests.size > maxRests) {
			this.#rests.delete(this.#rests.keys().next().value!);
		}
	}

	/** Whether no endpoint rests. */
	get isEmpty(): boolean {
		return this.#rests.size === 0;
	}

	/** How long an endpoint gets no request yet; 0 if it may get one now. */
	remainingMilliseconds(incarnation: string, now: number): number {
		const rest = this.#rests.get(incarnation);
		return rest === undefined ? 0 : Math.max(0, rest.until - now, rest.trialUntil - now);
	}

	/** Records that a request is sent to an endpoint. */
	noteSent(incarnation: string, now: number): void {
		const rest = this.#rests.get(incarnation);
		if (rest !== undefined && now >= rest.until) {
			rest.trialUntil = now + trialMilliseconds;
		}
	}

	/** Records an answer that shows that an endpoint accepts requests; one that arrives within a rest does not end it. */
	noteAccepted(incarnation: string, now: number): void {
		if (now >= (this.#rests.get(incarnation)?.until ?? Number.POSITIVE_INFINITY)) {
			this.#rests.delete(incarnation);
		}
	}
}
