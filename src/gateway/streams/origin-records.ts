/**
 * A bounded set of stream origins, in memory only. Records are grouped by the second in which they expire: a group is dropped
 * as a whole, and a record needs no object of its own.
 */
import {maxOriginLifetimeMilliseconds, type StreamOrigin} from './stream-origin.js';

/** An origin, and for how long it is still of use. */
export type OriginRecord = {key: string; origin: StreamOrigin; remainingMilliseconds: number};

const secondMilliseconds = 1000;
/** Different origins that share one object; far more than there are services and versions at a time. */
const maxOrigins = 1024;

export class OriginRecords {
	readonly #maxRecords: number;
	/** By the second at whose end the records expire. */
	readonly #groups = new Map<number, Map<string, StreamOrigin>>();
	readonly #origins = new Map<string, StreamOrigin>();
	#size = 0;

	/** @param maxRecords - Beyond it, the record that expires first is dropped. */
	constructor(maxRecords: number) {
		this.#maxRecords = maxRecords;
	}

	/** Records that are kept; those that expired since the last change count. */
	get size(): number {
		return this.#size;
	}

	/**
	 * Adds a record, or replaces that of the same key.
	 *
	 * @param lifetimeMilliseconds - How long it is kept, rounded up to a second; 2 minutes at most.
	 * @param now - The present time in milliseconds of the steady clock.
	 */
	put(key: string, origin: StreamOrigin, lifetimeMilliseconds: number, now: number): void {
		this.#expire(now);
		this.#remove(key);
		const second = Math.ceil((now + Math.min(maxOriginLifetimeMilliseconds, lifetimeMilliseconds)) / secondMilliseconds);
		const group = this.#groups.get(second) ?? new Map<string, StreamOrigin>();
		this.#groups.set(second, group);
		group.set(key, this.#shared(origin));
		this.#size++;
		if (this.#size > this.#maxRecords) {
			this.#dropFirst();
		}
	}

	/** Returns the record of a key; `undefined` without one. */
	recordOf(key: string, now: number): OriginRecord | undefined {
		for (const [second, group] of this.#groups) {
			const origin = group.get(key);
			const remainingMilliseconds = (second * secondMilliseconds) - now;
			if (origin !== undefined && remainingMilliseconds > 0) {
				return {key, origin, remainingMilliseconds};
			}
		}

		return undefined;
	}

	/** Returns the records of a service. */
	ofService(service: string, now: number): OriginRecord[] {
		this.#expire(now);
		return [...this.#groups].flatMap(([second, group]) => {
			const remainingMilliseconds = (second * secondMilliseconds) - now;
			return [...group].filter(([, origin]) => origin.service === service).map(([key, origin]) => ({key, origin, remainingMilliseconds}));
		});
	}

	#expire(now: number): void {
		for (const [second, group] of this.#groups) {
			if (second * secondMilliseconds <= now) {
				this.#groups.delete(second);
				this.#size -= group.size;
			}
		}
	}

	#remove(key: string): void {
		for (const group of this.#groups.values()) {
			if (group.delete(key)) {
				this.#size--;
				return;
			}
		}
	}

	#dropFirst(): void {
		const second = Math.min(...this.#groups.keys());
		const group = this.#groups.get(second);
		const [key] = group?.keys() ?? [];
		if (key !== undefined) {
			group?.delete(key);
			this.#size--;
		}

		if (group?.size === 0) {
			this.#groups.delete(second);
		}
	}

	#shared(origin: StreamOrigin): StreamOrigin {
		const name = JSON.stringify([origin.service, origin.softwareVersion]);
		const known = this.#origins.get(name);
		if (known !== undefined) {
			return known;
		}

		if (this.#origins.size >= maxOrigins) {
			this.#origins.clear();
		}

		this.#origins.set(name, origin);
		return origin;
	}
}
