/**
 * The relays that this instance may use, as a coordinator last reported each, and the choice among them. They are hints: a relay
 * may have ended, or have lost its endpoints too, and one that fails is left out for a while.
 *
 * A list does not replace the earlier ones: a coordinator that has just taken over knows few instances, and maybe only those that
 * are cut off too.
 */
import {type RelayReport} from './relay-messages.js';

/** How long a relay that failed is left out. */
const failedMilliseconds = 1000;
/** A relay that was not reported for this long is forgotten: its instance may have been replaced. */
const maxAgeMilliseconds = 30_000;
/** How many relays are remembered; the one that was reported longest ago is dropped first. */
const maxRelays = 64;
/** A list is requested again after this time, and sooner while endpoints cannot be reached. */
const refreshMilliseconds = 2000;
const urgentRefreshMilliseconds = 250;

export class RelayDirectory {
	readonly #relays = new Map<string, {report: RelayReport; updatedAt: number}>();
	#updatedAt = Number.NEGATIVE_INFINITY;
	readonly #failedUntil = new Map<string, number>();
	/** Connections that this instance has opened through a relay since the list was reported. */
	readonly #opened = new Map<string, number>();

	/** Whether a new list is due. */
	isDue(hasUnreachable: boolean, now: number): boolean {
		return now - this.#updatedAt > (hasUnreachable ? urgentRefreshMilliseconds : refreshMilliseconds);
	}

	/** Applies a list. */
	update(relays: readonly RelayReport[], now: number): void {
		this.#updatedAt = now;
		for (const report of relays) {
			this.#relays.delete(report.address);
			this.#relays.set(report.address, {report, updatedAt: now});
			this.#opened.delete(report.address);
		}

		for (const [address, {updatedAt}] of this.#relays) {
			if (now - updatedAt > maxAgeMilliseconds || this.#relays.size > maxRelays) {
				this.#relays.delete(address);
				this.#opened.delete(address);
			}
		}

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
	 * @param isAllowed - Whether a relay in a data centre may be chosen.
	 * @returns The relay's address; `undefined` if none can be used.
	 */
	choose(now: number, random: () => number, excluded: ReadonlySet<string> = new Set(), isAllowed: (dataCentre: string) => boolean = () => true): string | undefined {
		const usable = [...this.#relays.values()]
			.filter(({report: {address, dataCentre}, updatedAt}) => !excluded.has(address) && isAllowed(dataCentre) && now - updatedAt <= maxAgeMilliseconds && (this.#failedUntil.get(address) ?? 0) <= now)
			.map(({report}) => report);
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
