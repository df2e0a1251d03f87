/**
 * Which stores are left alone for a moment because they did not answer in time, so that prompts do not wait for a dead
 * store in turn. The first rest is short: beside a busy machine a store that is well is late now and then, and each prompt
 * that passes it over meanwhile is computed again. A store that stays late rests twice as long each time, up to a limit.
 */

const firstRestMilliseconds = 100;
const longestRestMilliseconds = 2000;

type Rest = {until: number; milliseconds: number};

export class StoreSuspicion {
	readonly #rests = new Map<string, Rest>();

	/** Tells whether a store is left alone now. `now` is in milliseconds since the epoch. */
	isSuspect(store: string, now: number): boolean {
		return now < (this.#rests.get(store)?.until ?? 0);
	}

	/** Notes that a store did not answer in time. Questions that were under way together count as one. */
	late(store: string, now: number): void {
		if (this.isSuspect(store, now)) {
			return;
		}

		const last = this.#rests.get(store)?.milliseconds ?? firstRestMilliseconds / 2;
		const milliseconds = Math.min(longestRestMilliseconds, last * 2);
		this.#rests.set(store, {until: now + milliseconds, milliseconds});
	}

	/** Notes that a store named pieces and then did not give one: its caller waited far longer, so it rests the longest. */
	stalled(store: string, now: number): void {
		this.#rests.set(store, {until: now + longestRestMilliseconds, milliseconds: longestRestMilliseconds});
	}

	/** Notes that a store answered. */
	answered(store: string): void {
		this.#rests.delete(store);
	}
}
