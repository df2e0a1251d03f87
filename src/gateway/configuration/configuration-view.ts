/**
 * The configuration in force at this instance, and for how long it is valid.
 *
 * It guards against two failures. A late or duplicate read could bring back an older version: only a higher version is
 * accepted. An instance that is partitioned from the store could go on accepting a key that was revoked long ago: validity
 * is a lease. The lease counts from the sending of the last answered read, because the answer describes the table at that
 * time or later; a read that hangs does not extend it. A revocation that the answer misses was therefore acknowledged after
 * the lease began, so with a lease of the permitted length no key is accepted beyond its bound.
 */
import {longestElapsed, type Moment} from '../../ports/moment-clock.js';
import {type RoutedConfiguration} from '../../shared/routed-configuration.js';
import {RouteTable} from './route-table.js';

/** A configuration with its routes indexed for look-up. */
export type ConfigurationInForce = RoutedConfiguration & {table: RouteTable};

/**
 * How valid the configuration is: `none` before the first one, `fresh` while its confirmation is recent, `ageing` while keys
 * are still accepted, `lapsed` after the lease has expired.
 */
export type ConfigurationValidity = 'none' | 'lapsed' | 'ageing' | 'fresh';

/** Bounds of validity, in milliseconds since the sending of the last answered read. */
export type ValidityBounds = {
	/** Beyond it, a route or key that is missing from the configuration is not reported as unknown. */
	freshMilliseconds: number;
	/** Beyond it, no key is accepted. */
	leaseMilliseconds: number;
};

export class ConfigurationView {
	readonly #bounds: ValidityBounds;
	#current: ConfigurationInForce | undefined;
	#confirmedAt: Moment | undefined;

	constructor(bounds: ValidityBounds) {
		this.#bounds = bounds;
	}

	get current(): ConfigurationInForce | undefined {
		return this.#current;
	}

	/**
	 * Brings a configuration into force if its version is higher than the present one.
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
	 * Renews the lease, unless the answer to a later read has already renewed it.
	 *
	 * @param sentAt - When the read was sent whose answer has arrived.
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

	/** How valid the configuration is at a moment. */
	validityAt(now: Moment): ConfigurationValidity {
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
