/**
 * Which software versions the endpoints of a service have had while this instance followed the list.
 *
 * That a service has one version now proves nothing about a stream that began earlier. It is proof only if the list is recent,
 * and was followed without interruption for as long as a stream may last, or the versions that were used before are known from the
 * platform's store. A route's timeout does not bound a stream: its caller may take it up again within a deadline of its own, and
 * the timeout may have been longer when it began. An endpoint that appears just now at
 * another instance is missing here for as long as the list may be old; so no instance lets streams begin at a version that it
 * has known for less than that time.
 */
import {ChangeSignal} from '../../shared/change-signal.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';

/** The software versions at which streams that still last can have begun, by service. */
export type UsedVersions = ReadonlyMap<string, readonly string[]>;

/** When the endpoints of a service had a version, in milliseconds of the steady clock. */
type VersionSpan = {firstListedAt: number; /** Infinite while it is listed. */ lastListedAt: number};

/** The longest that a stream may last over all tries of its caller, and so how long versions are remembered. */
export const longestStreamMilliseconds = 120_000;
/** Beyond this age, the list proves nothing about versions. */
export const maxListAgeMilliseconds = 1000;
/** An endpoint may appear and leave unnoticed between two confirmations that are further apart. */
const maxGapMilliseconds = 3000;
/** After this time, what all instances together know of used versions covers every endpoint that was listed before. */
const coverageDelayMilliseconds = 1000;

/** What is known of versions from before the list was followed: of these services, as of a time of the steady clock. */
type Coverage = {services: ReadonlySet<string> | 'all'; at: number};

export class VersionHistory {
	/**
	 * Notified when a service may have ceased to have one version only, and when the versions in use have changed. One change is not
	 * notified: the list becomes too old at `provenUntil`.
	 */
	readonly changes = new ChangeSignal();
	readonly #services = new Map<string, Map<string, VersionSpan>>();
	/** Since when the list has been followed without interruption. */
	#followedSince: number | undefined;
	#confirmedAt = Number.NEGATIVE_INFINITY;
	#coverage: Coverage | undefined;

	/** Until when the list is recent enough to prove anything, in milliseconds of the steady clock. */
	get provenUntil(): number {
		return this.#confirmedAt + maxListAgeMilliseconds;
	}

	/** Whether any service has had several versions while streams that still last can have begun. */
	get hasAnySeveral(): boolean {
		return [...this.#services.values()].some(({size}) => size > 1);
	}

	/** Records that the list may have missed endpoints. */
	interrupt(): void {
		const wasFollowed = this.#followedSince !== undefined;
		this.#followedSince = undefined;
		this.#confirmedAt = Number.NEGATIVE_INFINITY;
		if (wasFollowed) {
			// Instances may have used other versions meanwhile, so that nothing was used before does not cover them.
			this.#coverage = this.#coverage?.services === 'all' ? undefined : this.#coverage;
			this.changes.notify();
		}
	}

	/**
	 * Records the versions that all instances together have used, which covers the time before this one followed the list.
	 *
	 * @param used - All of them for each service that is named; `none` where no instance has served any request before.
	 * @param confirmedAt - As of when, in milliseconds of the steady clock.
	 */
	cover(used: UsedVersions | 'none', confirmedAt: number): void {
		if (used === 'none') {
			this.#coverage = {services: 'all', at: confirmedAt};
			return;
		}

		this.#coverage = {services: new Set(used.keys()), at: confirmedAt};
		for (const [service, versions] of used) {
			const spans = this.#services.get(service) ?? new Map<string, VersionSpan>();
			for (const version of versions) {
				if (!spans.has(version)) {
					spans.set(version, {firstListedAt: Number.POSITIVE_INFINITY, lastListedAt: confirmedAt});
				}
			}

			this.#services.set(service, spans);
		}

		this.changes.notify();
	}

	/** Records that what was covered last has not changed up to a time of the steady clock in milliseconds. */
	confirmCoverage(confirmedAt: number): void {
		if (this.#coverage !== undefined) {
			this.#coverage = {...this.#coverage, at: Math.max(this.#coverage.at, confirmedAt)};
		}
	}

	/** The versions at which streams that still last can have begun, of those services of which all are known. */
	usedVersions(now: number): UsedVersions {
		return new Map([...this.#services].flatMap(([service, spans]) => this.#isComplete(service, now) ? [[service, [...spans.keys()].toSorted()]] : []));
	}

	/** Records an endpoint of the list. */
	note({service, softwareVersion}: EndpointRecord): void {
		const spans = this.#services.get(service) ?? new Map<string, VersionSpan>();
		const known = spans.get(softwareVersion);
		if (known?.lastListedAt === Number.POSITIVE_INFINITY) {
			return;
		}

		spans.set(softwareVersion, {firstListedAt: known?.firstListedAt ?? Number.POSITIVE_INFINITY, lastListedAt: Number.POSITIVE_INFINITY});
		this.#services.set(service, spans);
		if (spans.size > 1) {
			this.changes.notify();
		}
	}

	/**
	 * Records that the list was confirmed.
	 *
	 * @param listed - All endpoints of the list, and those that may still be alive.
	 * @param confirmedAt - As of when, in milliseconds of the steady clock.
	 * @param now - Milliseconds of the steady clock.
	 */
	confirm(listed: Iterable<EndpointRecord>, confirmedAt: number, now: number): void {
		if (this.#followedSince === undefined || confirmedAt - this.#confirmedAt > maxGapMilliseconds) {
			const wasFollowed = this.#followedSince !== undefined;
			this.#followedSince = confirmedAt;
			if (wasFollowed) {
				this.changes.notify();
			}
		}

		this.#confirmedAt = Math.max(this.#confirmedAt, confirmedAt);
		const present = new Map<string, Set<string>>();
		for (const {service, softwareVersion} of listed) {
			const versions = present.get(service) ?? new Set<string>();
			present.set(service, versions.add(softwareVersion));
		}

		for (const [service, spans] of this.#services) {
			this.#close(spans, present.get(service), now);
			if (spans.size === 0) {
				this.#services.delete(service);
			}
		}
	}

	/**
	 * The only version at which any stream of a service that still lasts can have begun.
	 *
	 * @param service - Its name.
	 * @param now - Milliseconds of the steady clock.
	 * @param streamMilliseconds - How long such a stream may last.
	 * @returns The version, or `undefined` if there were several, or it is not proven.
	 */
	soleVersion(service: string, now: number, streamMilliseconds = longestStreamMilliseconds): string | undefined {
		const isProven = this.#isComplete(service, now, streamMilliseconds) && now - this.#confirmedAt <= maxListAgeMilliseconds;
		const versions = isProven ? [...this.#services.get(service) ?? []].filter(([, {lastListedAt}]) => now - lastListedAt < streamMilliseconds) : [];
		return versions.length === 1 ? versions[0]![0] : undefined;
	}

	/** Whether endpoints of a service have had several versions while streams that still last can have begun. */
	hasSeveral(service: string): boolean {
		return (this.#services.get(service)?.size ?? 0) > 1;
	}

	/** Whether other instances may not know yet that an endpoint's version is in use. */
	isRecent({service, softwareVersion}: EndpointRecord, now: number): boolean {
		const span = this.#services.get(service)?.get(softwareVersion);
		return span === undefined || now - span.firstListedAt < maxListAgeMilliseconds;
	}

	/** Whether all versions are known at which a stream of a service that still lasts can have begun. */
	#isComplete(service: string, now: number, streamMilliseconds = longestStreamMilliseconds): boolean {
		return this.#followedSince !== undefined && (now - this.#followedSince >= streamMilliseconds || this.#isCovered(service, this.#followedSince));
	}

	#isCovered(service: string, followedSince: number): boolean {
		const {services, at} = this.#coverage ?? {services: undefined, at: Number.NEGATIVE_INFINITY};
		return services !== undefined && at - followedSince >= coverageDelayMilliseconds && (services === 'all' || services.has(service));
	}

	#close(spans: Map<string, VersionSpan>, present: ReadonlySet<string> | undefined, now: number): void {
		for (const [version, span] of spans) {
			span.firstListedAt = Math.min(span.firstListedAt, now);
			if (!present?.has(version)) {
				span.lastListedAt = Math.min(span.lastListedAt, now);
			}

			if (now - span.lastListedAt >= longestStreamMilliseconds) {
				spans.delete(version);
				this.changes.notify();
			}
		}
	}
}
