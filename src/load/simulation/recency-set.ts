/** A set with bounded room that gives up its least recently used member. */
export class RecencySet {
	readonly #members = new Set<string>();
	#room: number;

	constructor(room: number) {
		this.#room = room;
	}

	get size(): number {
		return this.#members.size;
	}

	/** Changes the room; members beyond it go when the next one is kept. */
	setRoom(room: number): void {
		this.#room = room;
	}

	has(key: string): boolean {
		return this.#members.has(key);
	}

	/** Marks a member as just used. */
	touch(key: string): void {
		if (this.#members.delete(key)) {
			this.#members.add(key);
		}
	}

	/** Keeps a member and gives those that had to go. */
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
