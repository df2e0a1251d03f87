/** Tells those who wait that something has changed, so that they need not check it at an interval. */

export class ChangeSignal {
	readonly #listeners = new Set<() => void>();

	/** Calls the listener at each change from now on; it must not throw. */
	subscribe(listener: () => void): void {
		this.#listeners.add(listener);
	}

	notify(): void {
		for (const listener of this.#listeners) {
			listener();
		}
	}
}
