/** Checks whether endpoints accept connections, with one attempt for all callers within a short time. */

/** How long the result of an attempt is used. */
const validityMilliseconds = 500;

export class ConnectionChecks {
	readonly #checks = new Map<string, {startedAt: number; result: Promise<boolean>}>();

	get size(): number {
		return this.#checks.size;
	}

	/**
	 * Returns the result of a recent attempt, or makes one.
	 *
	 * @param incarnation - The endpoint.
	 * @param now - Milliseconds of the steady clock.
	 * @param attempt - Tries to connect.
	 */
	async isUp(incarnation: string, now: number, attempt: () => Promise<boolean>): Promise<boolean> {
		const known = this.#checks.get(incarnation);
		if (known !== undefined && now - known.startedAt < validityMilliseconds) {
			return known.result;
		}

		const result = attempt();
		this.#checks.set(incarnation, {startedAt: now, result});
		return result;
	}

	/** Forgets all endpoints but these. */
	retain(incarnations: ReadonlySet<string>): void {
		for (const incarnation of this.#checks.keys()) {
			if (!incarnations.has(incarnation)) {
				this.#checks.delete(incarnation);
			}
		}
	}
}
