/**
 * What the coordinator computes of the demand of all instances: which services are congested, and which part of the calls of
 * each workspace is accepted there. Its state is only what instances have reported over the last second.
 */
import {DemandWindow, type WindowRow} from './demand-window.js';
import {divideService, type WorkspaceDemand} from './divide-service.js';
import {isCongested} from './is-congested.js';
import {type CrowdedService, type ServiceDemand, type WorkspaceShare} from './service-demand.js';

/** A coordinator that has just begun to serve has observed only part of a second's demand. */
const minObservedMilliseconds = 1000;
/**
 * All instances query several times a second; the same result serves all of them for this long. With 1,800 workspaces that call
 * one service 12,000 times a second, results of 100 ms would take 5% of a core.
 */
const reuseMilliseconds = 200;
/** Services that were not requested for this long are forgotten. */
const forgetMilliseconds = 10_000;
/** Bound of a response: rows beyond it are those with the smallest excess, whose calls are then treated as without shares. */
const maxFractionRows = 50;

/**
 * The capacity that is divided, as a multiple of the measured one. Instances find a free slot by loads that are some hundred
 * milliseconds old, and miss some. With 1, more than a tenth of the slots is unused in a burst and fewer urgent calls are
 * served than without shares; with 1.3, workspaces within their share find an endpoint markedly less often.
 */
const overcommitment = 1.15;
/** Multiple of the capacity by slots from which on the calls that have ended count; reports arrive unevenly. */
const clearlyMore = 1.1;
/** How long after the loss of an endpoint the ended calls contain its own: the window, and the time until they are reported. */
const endedMilliseconds = 1500;

/**
 * Shares hold for services whose calls take at most as long as the window, and of which it contains at least this many at
 * capacity. A second with a few calls more than usual is no burst of a slower service: its free slots take them.
 */
const maxHeldMilliseconds = 1000;
const minCapacityPerSecond = 20;

/** What the shares depend on beside the demand. */
export type ShareInputs = {
	/** Slots of all ready endpoints of a service. */
	slotsOf(service: string): number;
	/** What is configured for a workspace. */
	shareOf(workspace: string): WorkspaceShare;
};

type Observed = {window: DemandWindow; isCongested: boolean; updatedAt: number; slots: number; slotsFellAt: number};

export class ServiceShares {
	readonly #inputs: ShareInputs;
	readonly #services = new Map<string, Observed>();
	#observedSince: number | undefined;
	#computed: {at: number; states: readonly CrowdedService[]} | undefined;

	constructor(inputs: ShareInputs) {
		this.#inputs = inputs;
	}

	/** Adds what an instance has counted since its last frame. */
	note(demands: readonly ServiceDemand[], now: number): void {
		this.#observedSince ??= now;
		for (const demand of demands) {
			let observed = this.#services.get(demand.service);
			if (observed === undefined) {
				observed = {
					window: new DemandWindow(), isCongested: false, updatedAt: now, slots: 0, slotsFellAt: Number.NEGATIVE_INFINITY,
				};
				this.#services.set(demand.service, observed);
			}

			observed.updatedAt = now;
			observed.window.add(demand, now);
		}
	}

	/** Forgets all counts: this instance does not serve followers any more. */
	reset(): void {
		this.#services.clear();
		this.#observedSince = undefined;
		this.#computed = undefined;
	}

	/** The services that instances must know of: those that are congested or of which a ceiling is exceeded. */
	crowded(now: number): CrowdedService[] {
		return this.states(now).filter(({isCongested: isFull, fractions}) => isFull || fractions.length > 0);
	}

	/** The states of all services with demand, the same for all responses of a fifth of a second; empty until a second has been observed. */
	states(now: number): readonly CrowdedService[] {
		if (this.#observedSince === undefined || now - this.#observedSince < minObservedMilliseconds) {
			return [];
		}

		if (this.#computed === undefined || now - this.#computed.at >= reuseMilliseconds) {
			this.#computed = {at: now, states: this.#compute(now)};
		}

		return this.#computed.states;
	}

	#compute(now: number): CrowdedService[] {
		const states: CrowdedService[] = [];
		for (const [service, observed] of this.#services) {
			if (now - observed.updatedAt > forgetMilliseconds) {
				this.#services.delete(service);
			} else {
				states.push(this.#stateOf(service, observed, now));
			}
		}

		return states;
	}

	#stateOf(service: string, observed: Observed, now: number): CrowdedService {
		const {window} = observed;
		const rows = window.rows(now);
		const requested = rows.reduce((sum, row) => sum + row.requested, 0);
		const capacity = this.#capacityOf(service, observed, rows, now);
		observed.isCongested = isCongested(observed.isCongested, requested, capacity === undefined || capacity < minCapacityPerSecond ? undefined : capacity);
		const divided = observed.isCongested && capacity !== undefined ? overcommitment * capacity : undefined;
		const fractions = divideService(divided, demandsOf(rows), workspace => this.#inputs.shareOf(workspace));
		return {
			service,
			isCongested: observed.isCongested,
			requestedPerSecond: requested,
			trendPerSecond: trendOf(requested, rows),
			capacityPerSecond: rounded(capacity ?? 0),
			largestUse: largestUseOf(rows),
			fractions: fractions
				.toSorted((one, other) => one[2] - other[2])
				.slice(0, maxFractionRows)
				.map(([rank, workspace, fraction, reason]) => [rank, workspace, rounded(fraction), reason]),
		};
	}

	/**
	 * Calls a second that the endpoints can serve; `undefined` while unknown, and where calls take too long. Endpoints may take more calls than the slots that
	 * they list; calls would be refused then although there is room, so what has ended within a second counts if it is clearly
	 * more. What endpoints served that are gone does not.
	 */
	#capacityOf(service: string, observed: Observed, rows: readonly WindowRow[], now: number): number | undefined {
		const held = observed.window.meanHeldMilliseconds;
		const slots = this.#inputs.slotsOf(service);
		// A coordinator without endpoints of a service may be the only one that knows none.
		if (held === undefined || held > maxHeldMilliseconds || slots === 0) {
			return undefined;
		}

		observed.slotsFellAt = slots < observed.slots ? now : observed.slotsFellAt;
		observed.slots = slots;
		const bySlots = 1000 * slots / held;
		const endedPerSecond = rows.reduce((sum, {ended}) => sum + ended, 0);
		return endedPerSecond > clearlyMore * bySlots && now - observed.slotsFellAt > endedMilliseconds ? endedPerSecond : bySlots;
	}
}

/**
 * The demand of a workspace: the smaller one of its rates over the last second and over its newer half, in calls a second. By a
 * second alone, a workspace would be refused calls for another second after its burst.
 */
function demandsOf(rows: readonly WindowRow[]): WorkspaceDemand[] {
	return rows
		.filter(({recent}) => recent > 0)
		.map(({rank, workspace, requested, recent}) => ({rank, workspace, requestedPerSecond: Math.min(requested, 2 * recent)}));
}

/** How much the rate of requested calls has changed within a second, from the older to the newer half of the last second. */
function trendOf(requested: number, rows: readonly WindowRow[]): number {
	const recent = rows.reduce((sum, row) => sum + row.recent, 0);
	return 4 * ((2 * recent) - requested);
}

function largestUseOf(rows: readonly WindowRow[]): string {
	const uses = new Map<string, number>();
	for (const {workspace, ended} of rows) {
		uses.set(workspace, (uses.get(workspace) ?? 0) + ended);
	}

	return [...uses].toSorted(([, one], [, other]) => other - one)[0]?.[0] ?? '';
}

/** Three digits after the point are enough for decisions and logs. */
function rounded(value: number): number {
	return Math.round(value * 1000) / 1000;
}
