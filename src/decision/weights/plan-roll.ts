/**
 * Which engines load named weights next.
 *
 * Load it answers: new weights are named while all engines serve. Loaded one after the other, the last engine would answer
 * on old weights for long; loaded all at once, nobody serves, and loads slow each other. So a quarter of the engines
 * loads at a time, at least two where there are three or more, which leaves the others to carry the traffic.
 *
 * The operators grant a time for all of it. Where a holder of the duty stood still, orders were lost or runs took long to
 * end, what is left to do no longer fits into what is left of that time at this pace, and engines that are not done are not
 * used any more: then more load at a time, up to half. With more, callers are refused for want of engines, which is worse
 * than some engines that stand idle behind the granted time until they are done.
 */
import {type EndpointRecord} from '../../shared/endpoint-record.js';

/** Part of the engines that may load at once: loads slow each other where more than about that part does. */
const loadingShare = 0.25;
const leastLoading = 2;
/** Part of the engines that loads at once where time is short; the others carry the traffic. */
const mostLoadingShare = 0.5;

/** An engine that was given an order and has not shown the weights yet. */
export type LoadingEngine = {
	name: string;
	/** When the order was given, in milliseconds of the steady clock. */
	since: number;
};

/** What a roll is to reach. */
export type RollGoal = {
	model: string;
	version: number;
	/** When all engines are to be done, in milliseconds of the steady clock. */
	dueAt: number;
	/** What an engine takes from its order to its new weights: its runs end first. */
	loadMilliseconds: number;
};

/** An order is taken for lost if the engine shows no trace of it for so long: runs finish and weights load meanwhile. */
export const loadPatienceMilliseconds = 12_000;

/**
 * Picks the engines that get an order now.
 *
 * @param engines - All engines of the model that take work.
 * @param goal - The model, the version it is to have, and by when.
 * @param loading - Those with an order under way.
 * @param now - Milliseconds of the steady clock.
 * @returns Engines, the oldest weights first.
 */
export function planRoll(engines: readonly EndpointRecord[], goal: RollGoal, loading: readonly LoadingEngine[], now: number): EndpointRecord[] {
	const versionOf = ({weightVersions}: EndpointRecord): number => weightVersions.get(goal.model) ?? 0;
	const underWay = new Set(loading.filter(({since}) => now - since < loadPatienceMilliseconds).map(({name}) => name));
	const behind = engines.filter(engine => engine.weightVersions.has(goal.model) && versionOf(engine) < goal.version);
	const needed = Math.min(Math.floor(engines.length * mostLoadingShare), Math.ceil(behind.length / roundsLeft(goal, now)));
	const most = Math.max(usualLoading(engines.length), needed);
	const room = most - behind.filter(({name}) => underWay.has(name)).length;
	return behind
		.filter(({name}) => !underWay.has(name))
		.toSorted((one, other) => versionOf(one) - versionOf(other) || (one.name < other.name ? -1 : 1))
		.slice(0, Math.max(0, room));
}

/** How many of so many engines load at a time while there is time enough; loads slow each other where more do. */
export function usualLoading(engines: number): number {
	return engines < leastLoading + 1 ? 1 : Math.max(leastLoading, Math.floor(engines * loadingShare));
}

/** How many loads, one behind the other, fit into the time that is left; one at least. */
function roundsLeft({dueAt, loadMilliseconds}: RollGoal, now: number): number {
	return Math.max(1, Math.floor((dueAt - now) / loadMilliseconds));
}
