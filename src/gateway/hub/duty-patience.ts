/**
 * How much later than others an instance tries for one of the hub's two duties.
 *
 * Load it answers: hundreds of instances wait for the same lease to end, most of them on machines that could not answer the
 * questions of all others. Those that are fit for the duty get a lead, in which one of them takes it and is found.
 */

/** What is known of an instance that could take a duty. */
export type DutyCandidate = {
	/** Cores that its machine gives it. */
	cores: number;
	/** Cores of the largest machine that a hub has told of; 0 before. */
	mostCores: number;
	/** Whether it has the other one of the two duties. */
	hasOtherDuty: boolean;
	/** Whether the holder of the other duty stands in its data centre. */
	isBesideOther: boolean;
};

/** The time in which a large machine reads the row, takes the duty, and is found by the others. */
const smallMachineMilliseconds = 400;
/** A machine counts as large with this share of the cores of the largest known one; */
const largeShare = 0.75;
/** While none is known, with this many cores. */
const wholeCore = 1;
/** One instance with both duties would be no help when it fails. */
const otherDutyMilliseconds = 1000;
/** A deputy elsewhere is left when the hub's data centre is cut off. */
const besideOtherMilliseconds = 300;

/** Gives how long an instance waits for others to take a duty, in milliseconds. */
export function dutyPatience({cores, mostCores, hasOtherDuty, isBesideOther}: DutyCandidate): number {
	const enough = mostCores === 0 ? wholeCore : largeShare * mostCores;
	return (cores < enough ? smallMachineMilliseconds : 0)
		+ (hasOtherDuty ? otherDutyMilliseconds : 0)
		+ (isBesideOther ? besideOtherMilliseconds : 0);
}
