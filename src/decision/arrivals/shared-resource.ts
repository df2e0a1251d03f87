/**
 * Decides who loses a resource that many holders share, such as memory or connections, when others need it. The holders that stand
 * still lose it first, so that clients which occupy the resource without using it do not keep the others out.
 */

export type ResourceHolder = {
	/** In which order holders lose the resource: those with the lowest number first. `undefined`: not at all at present. */
	readonly displacementRank: number | undefined;
	/** From when on it may lose the resource, in milliseconds of the steady clock. Within a rank, the one that is due longest loses it first. */
	readonly dueAt: number;
};

export class SharedResource<Holder extends ResourceHolder> {
	readonly #amounts = new Map<Holder, number>();
	#total = 0;

	/** What all holders have. */
	get total(): number {
		return this.#total;
	}

	get holders(): Iterable<Holder> {
		return this.#amounts.keys();
	}

	/** What a holder has. */
	amountOf(holder: Holder): number {
		return this.#amounts.get(holder) ?? 0;
	}

	/** Whether nobody but this holder has any of it. */
	isHeldOnlyBy(holder: Holder | undefined): boolean {
		const own = holder !== undefined && this.#amounts.has(holder) ? 1 : 0;
		return this.#amounts.size === own;
	}

	/** Sets what a holder has; with 0 it is no longer a holder. */
	hold(holder: Holder, amount: number): void {
		this.#total += amount - this.amountOf(holder);
		if (amount === 0) {
			this.#amounts.delete(holder);
		} else {
			this.#amounts.set(holder, amount);
		}
	}

	/**
	 * Selects the holders that lose the resource so that others may have it.
	 *
	 * @param amount - How much is needed.
	 * @param now - Milliseconds of the steady clock.
	 * @returns The holders, none if nothing is needed; `undefined` if all that may lose it do not have enough.
	 */
	selectDisplaced(amount: number, now: number): Holder[] | undefined {
		if (amount <= 0) {
			return [];
		}

		const candidates = [...this.#amounts.keys()]
			.filter(({displacementRank, dueAt}) => displacementRank !== undefined && dueAt <= now)
			.toSorted((left, right) => (left.displacementRank! - right.displacementRank!) || (left.dueAt - right.dueAt));
		let freed = 0;
		for (const [index, candidate] of candidates.entries()) {
			freed += this.amountOf(candidate);
			if (freed >= amount) {
				return candidates.slice(0, index + 1);
			}
		}

		return undefined;
	}
}
