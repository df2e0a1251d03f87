/**
 * Plans which engines load new weights next.
 *
 * New weights are named while all engines serve. If the engines loaded them one after the other, the last one would
 * answer on old weights for a long time; if all loaded at once, none would serve, and concurrent loads slow each other.
 * So a quarter of the engines load at a time, at least two where there are three or more, and the others carry the
 * traffic.
 *
 * Operators grant a time for the whole rollout. If a lease holder hung, orders were lost or runs took long to end, the
 * loads that are left no longer fit into the rest of that time at this rate, and engines that are not done by its end get
 * no more requests. In that case more engines load at a time, up to half. With more than half, callers would be refused
 * for lack of engines, which is worse than some engines that are idle from the end of that time until they are done.
 */
import {type EndpointRecord} from '../../shared/endpoint-record.js';

/** Share of the engines that may load at once; loads slow each other if more than about that share does. */
const loadingShare = 0.25;
const minLoading = 2;
/** Share of the engines that may load at once if time is short; the others carry the traffic. */
const maxLoadingShare = 0.5;

/** An engine that was sent an order and has not reported the weights yet. */
export type LoadingEngine = {
	name: string;
	/** When the order was sent, in milliseconds of the steady clock. */
	since: number;
};

/** Target of a rollout. */
export type RolloutTarget = {
	model: string;
	version: number;
	/** When all engines should be done, in milliseconds of the steady clock. */
	dueAt: number;
	/** Time from an engine's order to its new weights, including the end of its runs. */
	loadMilliseconds: number;
};

/** An order counts as lost if the engine shows no sign of it for this long, in which runs finish and weights load. */
export const loadTimeoutMilliseconds = 12_000;

/**
 * Chooses the engines that get an order now.
 *
 * @param engines - All engines of the model that accept work.
 * @param goal - The model, its target version, and the time by which it is due.
 * @param loading - Engines with an order in flight.
 * @param now - Milliseconds of the steady clock.
 * @returns Engines, those with the oldest weights first.
 */
export function planRollout(engines: readonly EndpointRecord[], goal: RolloutTarget, loading: readonly LoadingEngine[], now: number): EndpointRecord[] {
	const versionOf = ({weightVersions}: EndpointRecord): number => weightVersions.get(goal.model) ?? 0;
	const loadingNames = new Set(loading.filter(({since}) => now - since < loadTimeoutMilliseconds).map(({name}) => name));
	const outdated = engines.filter(engine => engine.weightVersions.has(goal.model) && versionOf(engine) < goal.version);
	const needed = Math.min(Math.floor(engines.length * maxLoadingShare), Math.ceil(outdated.length / remainingRounds(goal, now)));
	const maxLoading = Math.max(usualLoadCount(engines.length), needed);
	const room = maxLoading - outdated.filter(({name}) => loadingNames.has(name)).length;
	return outdated
		.filter(({name}) => !loadingNames.has(name))
		.toSorted((one, other) => versionOf(one) - versionOf(other) || (one.name < other.name ? -1 : 1))
		.slice(0, Math.max(0, room));
}

/** How many of this many engines load at a time if there is enough time; loads slow each other if more do. */
export function usualLoadCount(engines: number): number {
	return engines < minLoading + 1 ? 1 : Math.max(minLoading, Math.floor(engines * loadingShare));
}

/** How many loads, one after the other, fit into the remaining time; at least one. */
function remainingRounds({dueAt, loadMilliseconds}: RolloutTarget, now: number): number {
	return Math.max(1, Math.floor((dueAt - now) / loadMilliseconds));
}
