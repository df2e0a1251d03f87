/**
 * What a follower knows from the hub: which parts stores and engines hold, what the other instances have under way, and the
 * engines' clock. Used only while fresh; counted from the sending of the question whose answer came last.
 */
import {type EndpointLoad, noLoad} from '../../decision/placement/endpoint-load.js';
import {longestElapsed, type Moment} from '../../ports/moment-clock.js';
import {freshMilliseconds} from '../../protocol/parts/part-times.js';
import {EngineClock} from './engine-clock.js';
import {
	engineHolder, type HubFrame, type PackedLoad, unpackLoad,
} from './hub-messages.js';

export class HubView {
	readonly #holders = new Map<string, Map<string, number>>();
	readonly #heldTokens = new Map<string, number>();
	#open: ReadonlySet<string> = new Set();
	#engines: ReadonlySet<string> = new Set();
	#isLapsed = false;
	#loads: Readonly<Record<string, PackedLoad>> = {};
	#askedAt: Moment | undefined;
	readonly #engineClock = new EngineClock();
	readonly #uses = new Set<string>();

	/** Forgets all: the connection to the hub ended, and the next one tells all anew. */
	reset(): void {
		this.#holders.clear();
		this.#heldTokens.clear();
		this.#open = new Set();
		this.#engines = new Set();
		this.#isLapsed = false;
		this.#loads = {};
		this.#askedAt = undefined;
		this.#engineClock.forget();
	}

	/** Takes what the hub tells of a store or an engine. */
	takeParts({holder, added, removed}: HubFrame & {kind: 'parts'}): void {
		const parts = this.#holders.get(holder) ?? new Map<string, number>();
		this.#holders.set(holder, parts);
		let heldTokens = this.#heldTokens.get(holder) ?? 0;
		for (const key of removed) {
			heldTokens -= parts.get(key) ?? 0;
			parts.delete(key);
		}

		for (const [key, tokens] of added) {
			heldTokens += tokens - (parts.get(key) ?? 0);
			parts.set(key, tokens);
		}

		this.#heldTokens.set(holder, heldTokens);
	}

	/** Takes the answer to a question that was sent at `askedAt`. */
	takeAnswer({clock, isLapsed, open, engines, loads}: HubFrame & {kind: 'answer'}, askedAt: Moment, now: Moment): void {
		this.#open = new Set(open);
		this.#engines = new Set(engines);
		this.#isLapsed = isLapsed;
		this.#loads = loads;
		this.#askedAt = askedAt;
		this.#engineClock.forget();
		this.#engineClock.hear(clock, now.steady);
	}

	/** Whether the hub has lost its lease. */
	get isLapsed(): boolean {
		return this.#isLapsed;
	}

	isFresh(now: Moment): boolean {
		return this.#askedAt !== undefined && longestElapsed(this.#askedAt, now) < freshMilliseconds;
	}

	/** Whether parts may be saved to a store and fetched from it. */
	isOpen(store: string, now: Moment): boolean {
		return this.isFresh(now) && this.#open.has(store);
	}

	/** Whether a store holds a part whole. */
	holds(store: string, key: string, now: Moment): boolean {
		return this.isOpen(store, now) && (this.#holders.get(store)?.has(key) ?? false);
	}

	/** Tokens of all parts that a store is known to hold. */
	heldTokens(store: string): number {
		return this.#heldTokens.get(store) ?? 0;
	}

	/**
	 * The parts that an engine keeps, by its own events.
	 *
	 * @param engine - Its name.
	 * @returns Tokens by `salt|id`; `undefined` while they are not known. A hint: some events never arrive.
	 */
	engineParts(engine: string, now: Moment): ReadonlyMap<string, number> | undefined {
		return this.isFresh(now) && this.#engines.has(engine) ? this.#holders.get(engineHolder(engine)) ?? new Map<string, number>() : undefined;
	}

	/**
	 * The engines' clock, at most as far on as it really is: a time limit reckoned from it ends too soon rather than too late.
	 *
	 * @returns Milliseconds; `undefined` while it is not known.
	 */
	engineClock(now: Moment): number | undefined {
		return this.isFresh(now) ? this.#engineClock.at(now.steady) : undefined;
	}

	/** What all other instances have under way at an endpoint; `undefined` while that is not known. */
	othersAt(endpoint: string, now: Moment): EndpointLoad | undefined {
		if (!this.isFresh(now)) {
			return undefined;
		}

		const packed = this.#loads[endpoint];
		return packed === undefined ? noLoad : unpackLoad(packed);
	}

	noteUse(key: string): void {
		this.#uses.add(key);
	}

	/** Gives the parts used since the last call. */
	takeUses(): string[] {
		const uses = [...this.#uses];
		this.#uses.clear();
		return uses;
	}
}
