/**
 * The relays that this instance may use, as the coordinator last reported them, and the choice among them. The list is a hint:
 * a relay may have ended, or have lost its endpoints too, and one that fails is left out for a while.
 */
import {type RelayReport} from './relay-messages.js';

/** How long a relay that failed is left out. */
const failedMilliseconds = 1000;
/** A list older than this is not used: its instances may have been replaced. */
const maxAgeMilliseconds = 30_000;
/** A list is requested again after this time, and sooner while endpoints cannot be reached. */
const refreshMilliseconds = 2000;
const urgentRefreshMilliseconds = 250;

export class RelayDirectory {
	#relays: readonly RelayReport[] = [];
	#updatedAt = Number.NEGATIVE_INFINITY;
	readonly #failedUntil = new Map<string, number>();
	/** Connections that this instance has opened through a relay since the list was reported. */
	readonly #opened = new Map<string, number>();

	/** Whether a new list is due. */
	isDue(hasUnreachable: boolean, now: number): boolean {
		return now - this.#updatedAt > (hasUnreachable ? urgentRefreshMilliseconds : refreshMilliseconds);
	}

	/** Replaces the list. */
	update(relays: readonly RelayReport[], now: number): void {
		this.#relays = relays;
		this.#updatedAt = now;
		this.#opened.clear();
		for (const [address, until] of this.#failedUntil) {
			if (until <= now) {
				this.#failedUntil.delete(address);
			}
		}
	}

	/** Records that a relay could not be reached, or could not open a connection. */
	noteFailed(address: string, now: number): void {
		this.#failedUntil.set(address, now + failedMilliseconds);
	}

	/**
	 * Chooses the less loaded of two random relays, so that instances with the same list do not all choose the same one.
	 *
	 * @param random - Returns a random number from 0 up to 1.
	 * @param excluded - Addresses of relays that are not chosen.
	 * @returns The relay's address; `undefined` if none can be used.
	 */
	choose(now: number, random: () => number, excluded: ReadonlySet<string> = new Set()): string | undefined {
		if (now - this.#updatedAt > maxAgeMilliseconds) {
			return undefined;
		}

		const usable = this.#relays.filter(({address}) => !excluded.has(address) && (this.#failedUntil.get(address) ?? 0) <= now);
		const fewest = Math.min(...usable.map(({unreachable}) => unreachable));
		const best = usable.filter(({unreachable}) => unreachable === fewest);
		const drawn = [0, 1].map(() => best[Math.floor(random() * best.length)]).filter(relay => relay !== undefined);
		const [chosen] = drawn.toSorted((left, right) => this.#load(left) - this.#load(right));
		if (chosen !== undefined) {
			this.#opened.set(chosen.address, (this.#opened.get(chosen.address) ?? 0) + 1);
		}

		return chosen?.address;
	}

	#load({address, connections}: RelayReport): number {
		return connections + (this.#opened.get(address) ?? 0);
	}
}
