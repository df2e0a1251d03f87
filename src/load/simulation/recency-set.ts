/** A set of bounded capacity that evicts its least recently used members. */
export class RecencySet {
	readonly #members = new Set<string>();
	#room: number;

	constructor(room: number) {
		this.#room = room;
	}

	get size(): number {
		return this.#members.size;
	}

	/** Changes the capacity; members in excess of it are evicted when the next one is added. */
	setRoom(room: number): void {
		this.#room = room;
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
	keep(key: string): string[] {
		this.#members.delete(key);
		this.#members.add(key);
		const gone: string[] = [];
		while (this.#members.size > this.#room) {
			const oldest = this.#members.values().next().value!;
			this.#members.delete(oldest);
			gone.push(oldest);
		}

		return gone;
	}

	clear(): void {
		this.#members.clear();
	}
}
