/** A set of bounded capacity that evicts its least recently used members. */
export class LruSet {
	readonly #members = new Set<string>();
	#capacity: number;

	constructor(capacity: number) {
		this.#capacity = capacity;
	}

	get size(): number {
		return this.#members.size;
	}

	/** Changes the capacity; members in excess of it are evicted when the next one is added. */
	setCapacity(capacity: number): void {
		this.#capacity = capacity;
	}

	has(key: string): boolean {
		return this.#members.has(key);
	}

	/** Marks a member as the most recently used; does nothing if it is not in the set. */
	touch(key: string): void {
		if (this.#members.delete(key)) {
			this.#members.add(key);
		}
	}

	/** Adds a member, or marks it as the most recently used, and returns the members that were evicted for it. */
	add(key: string): string[] {
		this.#members.delete(key);
		this.#members.add(key);
		const evicted: string[] = [];
		while (this.#members.size > this.#capacity) {
			const oldest = this.#members.values().next().value!;
			this.#members.delete(oldest);
			evicted.push(oldest);
		}

		return evicted;
	}

	clear(): void {
		this.#members.clear();
	}
}
