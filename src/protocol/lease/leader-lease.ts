/**
 * The leader lease: a row in the store that lets one instance at a time lead.
 *
 * Invariant: orders of two holders are at least a lease apart, even if processes are killed or suspended, the network is
 * partitioned, or the time of day jumps. The row holds the time of the grant by the store's steady clock, as it was at a read
 * before the grant. The holder may lead for a short time, the length of the grant, which is in the row. It counts that time
 * from sending that same read, by whichever of its two clocks shows the longer time. The store answered the read later, so
 * the holder stops before the store's clock reaches the time of the grant plus its length. Another instance acquires the row
 * only when, by the store's clock, the length of the grant and a whole lease have passed since the grant. So instances need
 * not agree on a clock. A suspended holder blocks all others for that time: shorter grants lead to a faster takeover and
 * need more frequent renewals.
 *
 * The fencing number increases whenever the holder changes. The write is conditional on the row's revision, so two candidates
 * cannot get the same number. If the answer to a write is lost, the lease is not used and the row is read again.
 *
 * A store that is restored from an older copy has lost rows and issues their revisions again: a holder whose row was lost may
 * still lead, and the condition of a write may hold by accident. Each row therefore names the store's era in which it was
 * granted. A row of another era, or no row, does not show who leads now. An instance that finds this waits, from when it
 * first saw that state, for the longest possible grant and a whole lease, and takes a number above all numbers of earlier
 * eras.
 */
import {longestElapsed, type Moment} from '../../ports/moment-clock.js';

/** The row of a lease. */
export type LeaseRow = {
	holder: string;
	fencingNumber: number;
	/** The store's steady clock, in milliseconds, at the read before the grant. */
	grantedAt: number;
	/** The length of the grant: for how long the holder may lead after `grantedAt`. */
	actingMilliseconds: number;
	/** The address at which other instances reach the holder. */
	address: string;
	/** Engines that the holder is changing now; a hint for other instances to send them less work. */
	engines: string[];
	/** The store's era in which the lease was granted. */
	era: number;
	/** Handover state for the next holder: numbers by name. A hint that may be some seconds old. */
	legacy?: Record<string, number>;
};

/** The state of the store when the row was read. */
export type LeaseReading = {
	/** The store's steady clock, in milliseconds. */
	storeMilliseconds: number;
	/** The store's era; 0 for a store that reports none and never loses acknowledged writes. */
	era: number;
	/** For how long this revision of the row, or its absence, has been observed in this era, in milliseconds. */
	unchangedMilliseconds: number;
};

/** The durations of a lease, in milliseconds. */
export type LeaseTerms = {
	/** The minimum time between orders of two holders. */
	leaseMilliseconds: number;
	/** The length of a grant. */
	actingMilliseconds: number;
};

/** Whether an instance may write the row now (`take`), or after how many milliseconds it checks again. */
export type LeaseDecision
	= | {kind: 'take'; row: LeaseRow}
		| {kind: 'wait'; milliseconds: number};

/** A grant, with the moment from which its holder counts it. */
export type LeaseGrant = {
	row: LeaseRow;
	/** When the read before the grant was sent. */
	since: Moment;
};

/** The upper limit for a grant that is extended because the store is slow, as a share of the lease. */
const maxGrantShare = 0.5;
/** Added to the lease between two holders: the time from a holder's last check of its grant until its order arrives. */
const takeoverMarginMilliseconds = 300;

/** Returns the upper limit, in milliseconds, for a grant that is extended because the store is slow. */
export function maxGrantMilliseconds(leaseMilliseconds: number): number {
	return maxGrantShare * leaseMilliseconds;
}

/**
 * Returns the remaining time of a grant.
 *
 * @param grant - The grant.
 * @param now - The present moment.
 * @returns Milliseconds for which the holder may still lead; 0 or less if the grant has expired.
 */
export function remainingGrantMilliseconds({row, since}: LeaseGrant, now: Moment): number {
	return row.actingMilliseconds - longestElapsed(since, now);
}

/**
 * Returns whether no other instance can hold the lease yet, even if the holder's grant has expired. Until then, state that
 * only a holder may change is as this holder left it.
 *
 * @param grant - The holder's last grant.
 * @param leaseMilliseconds - The lease.
 * @param now - The present moment.
 */
export function isUncontested({row, since}: LeaseGrant, leaseMilliseconds: number, now: Moment): boolean {
	return longestElapsed(since, now) < row.actingMilliseconds + leaseMilliseconds;
}

const emptyRowFields = {address: '', engines: []};
/**
 * Where the last fencing number may be lost, the next one is computed from the era and the store's clock in this unit. Holders
 * change at most once per lease, so the clock advances faster than numbers that increase by one per holder.
 */
const fencingUnitMilliseconds = 100;
const fencingNumbersPerEra = 100_000_000_000;
/** Earlier than any time of the store's clock. */
const neverGranted = Number.MIN_SAFE_INTEGER;

/** Returns the row of a holder that has finished its work under the lease: any instance may acquire it at once. */
export function releasedRow(row: LeaseRow): LeaseRow {
	return {...row, grantedAt: neverGranted, engines: []};
}

/**
 * Decides whether an instance may acquire or renew the lease.
 *
 * @param row - The row as read; `undefined` if there is none.
 * @param candidate - The name of the instance.
 * @param reading - The state of the store at that read.
 * @param terms - The lease, and the length of the grant that the instance would take.
 * @returns The row to write, or after how many milliseconds to check again.
 */
export function decideLease(row: LeaseRow | undefined, candidate: string, reading: LeaseReading, {leaseMilliseconds, actingMilliseconds}: LeaseTerms): LeaseDecision {
	const {storeMilliseconds, era} = reading;
	if (row === undefined || eraOf(row) !== era) {
		return decideNewEra(row, candidate, reading, {leaseMilliseconds, actingMilliseconds});
	}

	if (row.holder === candidate) {
		// If the answer to this write is lost, the holder continues under its previous grant: the row must not expire earlier.
		const remainingMilliseconds = row.grantedAt + row.actingMilliseconds - storeMilliseconds;
		return {
			kind: 'take',
			row: {
				...emptyRowFields, holder: candidate, fencingNumber: row.fencingNumber, grantedAt: storeMilliseconds, actingMilliseconds: Math.max(actingMilliseconds, remainingMilliseconds), era,
			},
		};
	}

	const freeAt = row.grantedAt + row.actingMilliseconds + leaseMilliseconds + takeoverMarginMilliseconds;
	if (storeMilliseconds < freeAt) {
		return {kind: 'wait', milliseconds: freeAt - storeMilliseconds};
	}

	return {
		kind: 'take',
		row: {
			...emptyRowFields, holder: candidate, fencingNumber: row.fencingNumber + 1, grantedAt: storeMilliseconds, actingMilliseconds, era,
		},
	};
}

/** Decides without a row of this era: a grant that the store has lost may still be valid. */
function decideNewEra(row: LeaseRow | undefined, candidate: string, {storeMilliseconds, era, unchangedMilliseconds}: LeaseReading, {leaseMilliseconds, actingMilliseconds}: LeaseTerms): LeaseDecision {
	const maxGrant = Math.max(actingMilliseconds, maxGrantMilliseconds(leaseMilliseconds), row?.actingMilliseconds ?? 0);
	const wait = maxGrant + leaseMilliseconds + takeoverMarginMilliseconds - unchangedMilliseconds;
	if (era > 0 && wait > 0) {
		return {kind: 'wait', milliseconds: wait};
	}

	const numberInEra = era === 0 ? 0 : (era * fencingNumbersPerEra) + Math.floor(storeMilliseconds / fencingUnitMilliseconds);
	const fencingNumber = Math.max((row?.fencingNumber ?? 0) + 1, numberInEra);
	return {
		kind: 'take',
		row: {
			...emptyRowFields, holder: candidate, fencingNumber, grantedAt: storeMilliseconds, actingMilliseconds, era,
		},
	};
}

/** Returns the era of a row; rows written by releases without eras have none. */
function eraOf({era}: Partial<LeaseRow>): number {
	return era ?? 0;
}
