/**
 * The lease on a duty that one instance at a time may carry out, as one row in the store.
 *
 * What must hold: orders of two holders are never less than a lease apart, over kills, freezes, cuts and jumps of the time
 * of day. The row says when it was granted, by the store's steady clock at a read that came before the grant. A holder
 * acts only for a short while, which the row states, counted by the longer of its two clocks from the sending of that same
 * read, which was before the store's reading; so it stops before the store's clock shows grant plus that while. Anybody
 * else takes the row only when the store's clock shows the grant to be older than that while and a whole lease. No two
 * instances need to agree on a clock. A holder that stands still keeps others out for that long: the shorter it acts on one
 * grant, the sooner another takes over, and the more often it has to renew.
 *
 * The fencing number rises whenever the holder changes. The write is conditional on the row's revision, so two takers
 * cannot get the same one; a write whose answer was lost is not relied on, and the row is read again.
 *
 * A store that comes back from an older copy has lost rows, and gives their revisions out again: a holder whose row is gone
 * may still act, and a condition may hold by accident. Each row names the era of the store in which it was granted. A row of
 * another era, or none, tells nothing of who acts. Whoever finds one waits from then on for as long as any grant lasts and a
 * whole lease, and takes a number that lies above all numbers of earlier eras.
 */
import {longestElapsed, type Moment} from '../../ports/moment-clock.js';

/** The row. */
export type DutyRow = {
	holder: string;
	fencingNumber: number;
	/** The store's clock, in milliseconds, at a moment before the grant. */
	grantedAt: number;
	/** For how long the holder acts after the grant. */
	actingMilliseconds: number;
	/** Where other instances reach the holder. */
	address: string;
	/** Engines that the holder is changing now, for others to spare them. A hint. */
	engines: string[];
	/** The era of the store in which it was granted. */
	era: number;
	/** Numbers by name that the holder leaves to whoever follows it. A hint that may be some seconds old. */
	legacy?: Record<string, number>;
};

/** The store as it was when the row was read. */
export type DutyReading = {
	/** Milliseconds of the store's steady clock. */
	storeMilliseconds: number;
	/** The store's era; 0 where it tells none, and never loses what it has acknowledged. */
	era: number;
	/** For how long this same state of the row, or its absence, has been seen in this era, in milliseconds. */
	unchangedMilliseconds: number;
};

/** Times of a duty, in milliseconds. */
export type DutyTerms = {
	/** Orders of two holders are at least so far apart. */
	leaseMilliseconds: number;
	/** For how long a holder acts on one grant. */
	actingMilliseconds: number;
};

/** What an instance may do about a duty. */
export type DutyDecision
	= | {kind: 'take'; row: DutyRow}
		| {kind: 'wait'; milliseconds: number};

/** A grant as its holder sees it. */
export type DutyGrant = {
	row: DutyRow;
	/** When the read was sent from which the grant is counted. */
	since: Moment;
};

/** Share of the lease for which a grant is stretched at most where the store is slow. */
const mostActingShare = 0.5;
/** Beside a whole lease between two holders: what an order takes to arrive, and a check that was made just before. */
const takeoverMarginMilliseconds = 300;

/** To what length a grant is stretched at most where the store is slow, in milliseconds. */
export function mostActingMilliseconds(leaseMilliseconds: number): number {
	return mostActingShare * leaseMilliseconds;
}

/**
 * Gives what is left of a grant.
 *
 * @param grant - The grant.
 * @param now - The present moment.
 * @returns Milliseconds for which the holder may still act; 0 or less if it may not.
 */
export function leftOfGrant({row, since}: DutyGrant, now: Moment): number {
	return row.actingMilliseconds - longestElapsed(since, now);
}

/**
 * Tells whether no other instance can hold the duty yet, though the holder may not act on its grant any more. What only
 * another holder could change still stands as the holder left it.
 *
 * @param grant - The holder's last grant.
 * @param leaseMilliseconds - The lease.
 * @param now - The present moment.
 */
export function isUncontested({row, since}: DutyGrant, leaseMilliseconds: number, now: Moment): boolean {
	return longestElapsed(since, now) < row.actingMilliseconds + leaseMilliseconds;
}

const nobodysRow = {address: '', engines: []};
/**
 * Where the last number may be lost, the next one is made of the era and the store's clock: holders are more than a lease
 * apart, so the clock, in this unit, runs ahead of numbers that rise by one.
 */
const numberUnitMilliseconds = 100;
const numbersOfAnEra = 100_000_000_000;
/** Long before any time of the store's clock. */
const neverGranted = Number.MIN_SAFE_INTEGER;

/** The row of a holder that has ended all that it did under the duty: anybody may take it. */
export function releasedRow(row: DutyRow): DutyRow {
	return {...row, grantedAt: neverGranted, engines: []};
}

/**
 * Decides whether an instance may write itself into the row.
 *
 * @param row - The row as read; absent if nobody ever held the duty.
 * @param taker - The instance.
 * @param reading - The store at that read.
 * @param terms - The lease, and for how long the taker would act on one grant.
 * @returns The row to write; or after how many milliseconds to look again.
 */
export function decideDuty(row: DutyRow | undefined, taker: string, reading: DutyReading, {leaseMilliseconds, actingMilliseconds}: DutyTerms): DutyDecision {
	const {storeMilliseconds, era} = reading;
	if (row === undefined || eraOf(row) !== era) {
		return decideWithoutRow(row, taker, reading, {leaseMilliseconds, actingMilliseconds});
	}

	if (row.holder === taker) {
		// The holder goes on under the grant before where the answer to this write is lost: the row must not end sooner.
		const leftBefore = row.grantedAt + row.actingMilliseconds - storeMilliseconds;
		return {
			kind: 'take',
			row: {
				...nobodysRow, holder: taker, fencingNumber: row.fencingNumber, grantedAt: storeMilliseconds, actingMilliseconds: Math.max(actingMilliseconds, leftBefore), era,
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
			...nobodysRow, holder: taker, fencingNumber: row.fencingNumber + 1, grantedAt: storeMilliseconds, actingMilliseconds, era,
		},
	};
}

/** Without a row of this era a grant may be in force that the store has lost. */
function decideWithoutRow(row: DutyRow | undefined, taker: string, {storeMilliseconds, era, unchangedMilliseconds}: DutyReading, {leaseMilliseconds, actingMilliseconds}: DutyTerms): DutyDecision {
	const longestGrant = Math.max(actingMilliseconds, mostActingMilliseconds(leaseMilliseconds), row?.actingMilliseconds ?? 0);
	const wait = longestGrant + leaseMilliseconds + takeoverMarginMilliseconds - unchangedMilliseconds;
	if (era > 0 && wait > 0) {
		return {kind: 'wait', milliseconds: wait};
	}

	const numberInEra = era === 0 ? 0 : (era * numbersOfAnEra) + Math.floor(storeMilliseconds / numberUnitMilliseconds);
	const fencingNumber = Math.max((row?.fencingNumber ?? 0) + 1, numberInEra);
	return {
		kind: 'take',
		row: {
			...nobodysRow, holder: taker, fencingNumber, grantedAt: storeMilliseconds, actingMilliseconds, era,
		},
	};
}

/** Rows of a version that knew no eras name none. */
function eraOf({era}: Partial<DutyRow>): number {
	return era ?? 0;
}
