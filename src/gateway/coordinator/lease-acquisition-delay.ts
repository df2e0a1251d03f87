/**
 * How much later than others an instance tries to acquire one of the coordinator's two leases.
 *
 * Hundreds of instances may wait for the same lease to expire, most of them on machines that could not answer the queries of
 * all others. The instances that are fit for the role get a head start, in which one of them acquires the lease and is found by
 * the others.
 */

/** What is known of an instance that could acquire a lease. */
export type LeaseCandidate = {
	/** CPU cores that its machine gives it. */
	cores: number;
	/** CPU cores of the largest machine that a coordinator has reported; 0 before. */
	maxCores: number;
	/** Whether it holds the lease of the other role. */
	holdsOtherLease: boolean;
	/** Whether the holder of the other role is in the same data centre. */
	isCoLocated: boolean;
};

/** The time in which a large machine reads the row, acquires the lease, and is found by the others. */
const smallMachineDelayMilliseconds = 400;
/** A machine counts as large with this share of the cores of the largest known machine. */
const largeShare = 0.75;
/** While no machine is known, one with this many cores counts as large. */
const defaultLargeCores = 1;
/** An instance with both roles fails in both at once. */
const otherLeaseDelayMilliseconds = 1000;
/** A standby in another data centre stays reachable when the coordinator's data centre is cut off. */
const coLocatedDelayMilliseconds = 300;

/** Returns how long an instance waits for others to acquire a lease, in milliseconds. */
export function leaseAcquisitionDelay({cores, maxCores, holdsOtherLease, isCoLocated}: LeaseCandidate): number {
	const largeCores = maxCores === 0 ? defaultLargeCores : largeShare * maxCores;
	return (cores < largeCores ? smallMachineDelayMilliseconds : 0)
		+ (holdsOtherLease ? otherLeaseDelayMilliseconds : 0)
		+ (isCoLocated ? coLocatedDelayMilliseconds : 0);
}
