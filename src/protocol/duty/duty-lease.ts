/**
 * The lease on a duty that one instance at a time may carry out, as one row in the store.
 *
 * What must hold: orders of two holders are never less than a lease apart, over kills, freezes, cuts and jumps of the time
 * of day. The row says when it was granted, by the store's steady clock at a read that came before the grant. A holder
 * acts only for a short while, counted by the longer of its two clocks from the sending of that same read, which was
 * before the store's reading; so it stops before the store's clock shows grant plus that while. Anybody else takes the
 * row only when the store's clock shows the grant to be older than that while and a whole lease. No two instances need
 * to agree on a clock.
 *
 * The fencing number rises whenever the holder changes. The write is conditional on the row's revision, so two takers
 * cannot get the same one; a write whose answer was lost is not relied on, and the row is read again.
 */
import {longestElapsed, type Moment} from '../../ports/moment-clock.js';

/** The row. */
export type DutyRow = {
	holder: string;
	fencingNumber: number;
	/** The store's clock, in milliseconds, at a moment before the grant. */
	grantedAt: number;
	/** Where other instances reach the holder. */
	address: string;
	/** Engines that the holder is changing now, for others to spare them. A hint. */
	engines: string[];
};

/** A grant as its holder sees it. */
export type DutyGrant = {
	row: DutyRow;
	/** When the read was sent from which the grant is counted. */
	since: Moment;
};

/** Share of the lease for which a holder acts after a grant. The rest of the bound is the pause between two holders. */
const actingShare = 0.5;
/** Beside a whole lease between two holders: what an order takes to arrive, and a check that was made just before. */
const takeoverMarginMilliseconds = 300;

/** For how long a holder acts after a grant, in milliseconds. */
export function actingMilliseconds(leaseMilliseconds: number): number {
	return actingShare * leaseMilliseconds;
}

/**
 * Gives what is left of a grant.
 *
 * @param grant - The grant.
 * @param leaseMilliseconds - The lease.
 * @param now - The present moment.
 * @returns Milliseconds for which the holder may still act; 0 or less if it may not.
 */
export function leftOfGrant(grant: DutyGrant, leaseMilliseconds: number, now: Moment): number {
	return actingMilliseconds(leaseMilliseconds) - longestElapsed(grant.since, now);
}

const nobodysRow = {address: '', engines: []};
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
 * @param storeMilliseconds - The store's clock at that read.
 * @param leaseMilliseconds - The lease.
 * @returns The row to write; or after how many milliseconds to look again.
 */
export function decideDuty(row: DutyRow | undefined, taker: string, storeMilliseconds: number, leaseMilliseconds: number): {kind: 'take'; row: DutyRow} | {kind: 'wait'; milliseconds: number} {
	if (row === undefined || row.holder === taker) {
		return {
			kind: 'take',
			row: {
				...nobodysRow, holder: taker, fencingNumber: row?.fencingNumber ?? 1, grantedAt: storeMilliseconds,
			},
		};
	}

	const freeAt = row.grantedAt + actingMilliseconds(leaseMilliseconds) + leaseMilliseconds + takeoverMarginMilliseconds;
	if (storeMilliseconds < freeAt) {
		return {kind: 'wait', milliseconds: freeAt - storeMilliseconds};
	}

	return {
		kind: 'take',
		row: {
			...nobodysRow, holder: taker, fencingNumber: row.fencingNumber + 1, grantedAt: storeMilliseconds,
		},
	};
}
