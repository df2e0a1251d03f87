/** Virtual time: runs events in the order of their times, and in the order of scheduling where times are equal. */

type ScheduledEvent = {at: number; sequence: number; run: () => void};

export class EventQueue {
	readonly #heap: ScheduledEvent[] = [];
	#sequence = 0;
	#now = 0;

	/** The current virtual time in milliseconds. */
	get now(): number {
		return this.#now;
	}

	/** Schedules a callback after a delay in milliseconds; a negative delay counts as 0. */
	after(milliseconds: number, run: () => void): void {
		this.#push({at: this.#now + Math.max(0, milliseconds), sequence: this.#sequence++, run});
	}

	/**
	 * Runs all events up to and including a time, and sets the current time to it.
	 *
	 * @param end - Virtual time in milliseconds.
	 */
	runUntil(end: number): void {
		for (let next = this.#heap[0]; next !== undefined && next.at <= end; next = this.#heap[0]) {
			this.#pop();
			this.#now = next.at;
			next.run();
		}

		this.#now = end;
	}

	#push(event: ScheduledEvent): void {
		const heap = this.#heap;
		let index = heap.push(event) - 1;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!isBefore(event, heap[parent]!)) {
				break;
			}

			heap[index] = heap[parent]!;
			index = parent;
		}

		heap[index] = event;
	}

	#pop(): void {
		const heap = this.#heap;
		const last = heap.pop()!;
		if (heap.length === 0) {
			return;
		}

		let index = 0;
		for (;;) {
			const left = (2 * index) + 1;
			const right = left + 1;
			let least = left;
			if (right < heap.length && isBefore(heap[right]!, heap[left]!)) {
				least = right;
			}

			if (least >= heap.length || !isBefore(heap[least]!, last)) {
				break;
			}

			heap[index] = heap[least]!;
			index = least;
		}

		heap[index] = last;
	}
}

function isBefore(left: ScheduledEvent, right: ScheduledEvent): boolean {
	return left.at < right.at || (left.at === right.at && left.sequence < right.sequence);
}
