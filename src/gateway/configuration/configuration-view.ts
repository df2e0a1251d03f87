/**
 * The configuration in force at this instance, and for how long it may be trusted.
 *
 * Two failures are guarded against. A late or repeated read brings an older version back: only a higher version is
 * taken. An instance that is cut off from the store serves a key that was taken away long ago: trust is a lease. It is
 * counted from the sending of the last read that was answered, since the answer describes no earlier moment; a read that
 * hangs extends nothing. A revocation that was acknowledged after that read was sent is therefore younger than the
 * lease, so with a lease of the permitted length no key outlives its bound.
 */
import {longestElapsed, type Moment} from '../../ports/moment-clock.js';
import {type RoutedConfiguration} from '../../shared/routed-configuration.js';
import {RouteTable} from './route-table.js';

/** A configuration with its routes made ready for look-up. */
export type ConfigurationInForce = RoutedConfiguration & {table: RouteTable};

/** How far the configuration may be trusted. */
export type Trust = 'none' | 'lapsed' | 'ageing' | 'fresh';

/** Bounds of trust, in milliseconds since the sending of the last answered read. */
export type TrustBounds = {
	/** Beyond it, what the configuration does not know is not called unknown. */
	freshMilliseconds: number;
	/** Beyond it, no key is accepted. */
	leaseMilliseconds: number;
};

export class ConfigurationView {
	readonly #bounds: TrustBounds;
	#current: ConfigurationInForce | undefined;
	#confirmedAt: Moment | undefined;

	constructor(bounds: TrustBounds) {
		this.#bounds = bounds;
	}

	get current(): ConfigurationInForce | undefined {
		return this.#current;
	}

	/**
	 * Takes a configuration if its version is higher than the one in force.
	 *
	 * @param configuration - What was read.
	 * @returns Whether it is in force now.
	 */
	offer(configuration: RoutedConfiguration): boolean {
		if (this.#current !== undefined && configuration.version <= this.#current.version) {
			return false;
		}

		this.#current = {...configuration, table: new RouteTable(configuration.routes)};
		return true;
	}

	/**
	 * Renews the lease, unless a later read was answered before.
	 *
	 * @param sentAt - When the read was sent that has now been answered.
	 */
	confirm(sentAt: Moment): void {
		if (this.#confirmedAt === undefined || sentAt.steady > this.#confirmedAt.steady) {
			this.#confirmedAt = sentAt;
		}
	}

	/** Milliseconds since the last answered read was sent; infinite before the first. */
	ageAt(now: Moment): number {
		return this.#confirmedAt === undefined ? Number.POSITIVE_INFINITY : longestElapsed(this.#confirmedAt, now);
	}

	/** How far the configuration may be trusted now. */
	trustAt(now: Moment): Trust {
		const age = this.ageAt(now);
		if (this.#current === undefined) {
			return 'none';
		}

		if (age >= this.#bounds.leaseMilliseconds) {
			return 'lapsed';
		}

		return age >= this.#bounds.freshMilliseconds ? 'ageing' : 'fresh';
	}
}
