/** The wait of one request, from its queueing until it is placed, refused or not wanted any more. */
import {type WaitOutlook} from '../../decision/waiting/waiting-request.js';

/** Why a request is refused that found no room. */
export type UnadmittedReason = 'refused-at-once' | 'expired' | 'displaced' | 'endpoints-gone' | 'stopped';

/**
 * What became of a request that found no room at first, as counted. `no-slot-known`: it waited for a free slot, and is sent
 * without knowledge of one.
 */
export type WaitOutcome = 'admitted' | 'caller-left' | 'no-slot-known' | UnadmittedReason;

/** How a wait ended. `cancelled`: the caller has left, or the request has timed out. */
export type WaitEnd<Found>
	= | {kind: 'admitted'; found: Found}
		| {kind: 'unadmitted'; reason: UnadmittedReason; outlook: WaitOutlook; waitedMilliseconds: number}
		| {kind: 'cancelled'};

/**
 * Tries to place a queued request; `undefined` if there is no room.
 *
 * @param mayQuery - Whether the state of the other instances may be queried for it.
 */
export type PlaceQueued<Found> = (mayQuery: boolean) => Promise<Found | 'endpoints-gone' | undefined>;

/** A wait whatever it is for. */
export type AnyWait = Pick<QueuedWait<never>, 'place' | 'refuse'>;

type Dependencies = {
	signal: AbortSignal;
	/** What is known of the wait, and how long it has lasted. */
	describe(): {outlook: WaitOutlook; waitedMilliseconds: number};
	/** Called once, when the wait ends. */
	ended(outcome: WaitOutcome): void;
};

export class QueuedWait<Found> {
	readonly end: Promise<WaitEnd<Found>>;
	readonly #placeRequest: PlaceQueued<Found>;
	readonly #dependencies: Dependencies;
	#settle: {resolve: (end: WaitEnd<Found>) => void; reject: (error: Error) => void} | undefined;

	constructor(place: PlaceQueued<Found>, dependencies: Dependencies) {
		this.#placeRequest = place;
		this.#dependencies = dependencies;
		this.end = new Promise((resolve, reject) => {
			this.#settle = {resolve, reject};
		});
		dependencies.signal.addEventListener('abort', this.#cancel, {once: true});
	}

	/** Tries to place the request; returns whether its wait has ended. An exception ends it, and is thrown to its caller only. */
	async place(mayQuery: boolean): Promise<boolean> {
		try {
			const found = await this.#placeRequest(mayQuery);
			if (found === undefined) {
				return false;
			}

			if (found === 'endpoints-gone') {
				this.refuse('endpoints-gone');
			} else {
				this.#finish('admitted')?.resolve({kind: 'admitted', found});
			}
		} catch (error) {
			this.#finish('endpoints-gone')?.reject(error as Error);
		}

		return true;
	}

	/** Ends the wait without an endpoint. */
	refuse(reason: UnadmittedReason): void {
		const description = this.#dependencies.describe();
		this.#finish(reason)?.resolve({kind: 'unadmitted', reason, ...description});
	}

	readonly #cancel = (): void => {
		this.#finish('caller-left')?.resolve({kind: 'cancelled'});
	};

	/** Returns the functions that settle the promise, the first time that it is called. */
	#finish(outcome: WaitOutcome) {
		const settle = this.#settle;
		this.#settle = undefined;
		if (settle !== undefined) {
			this.#dependencies.signal.removeEventListener('abort', this.#cancel);
			this.#dependencies.ended(outcome);
		}

		return settle;
	}
}
