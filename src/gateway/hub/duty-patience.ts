/**
 * How much later than others an instance tries to acquire one of the coordinator's two leases.
 *
 * Hundreds of instances may wait for the same lease to expire, most of them on machines that could not answer the queries of
 * all others. The instances that are fit for the role get a head start, in which one of them acquires the lease and is found by
 * the others.
 */

/** What is known of an instance that could acquire a lease. */
export type DutyCandidate = {
	/** CPU cores that its machine gives it. */
	cores: number;
	/** CPU cores of the largest machine that a coordinator has reported; 0 before. */
	mostCores: number;
	/** Whether it holds the lease of the other role. */
	hasOtherDuty: boolean;
	/** Whether the holder of the other role is in the same data centre. */
	isBesideOther: boolean;
};

/** The time in which a large machine reads the row, acquires the lease, and is found by the others. */
const smallMachineMilliseconds = 400;
/** A machine counts as large with this share of the cores of the largest known machine. */
const largeShare = 0.75;
/** While no machine is known, one with this many cores counts as large. */
const wholeCore = 1;
/** An instance with both roles fails in both at once. */
const otherDutyMilliseconds = 1000;
/** A standby in another data centre stays reachable when the coordinator's data centre is cut off. */
const besideOtherMilliseconds = 300;

/** Returns how long an instance waits for others to acquire a lease, in milliseconds. */
export function dutyPatience({cores, mostCores, hasOtherDuty, isBesideOther}: DutyCandidate): number {
	const enough = mostCores === 0 ? wholeCore : largeShare * mostCores;
	return (cores < enough ? smallMachineMilliseconds : 0)
		+ (hasOtherDuty ? otherDutyMilliseconds : 0)
		+ (isBesideOther ? besideOtherMilliseconds : 0);
}
