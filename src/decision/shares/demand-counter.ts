/** Counts the calls of one instance by service, rank and workspace until they are reported to the coordinator. */
import {type DemandRow, type ServiceDemand} from './service-demand.js';

/** Counts that could not be reported for this long are dropped: they would count as demand of the second in which they arrive. */
const maxAgeMilliseconds = 1000;
/** More than the workspaces that call one instance within a second. */
const maxRows = 500;

type Call = {service: string; rank: number; workspace: string};
type Counts = {heldMilliseconds: number; rows: Map<string, DemandRow>};

export class DemandCounter {
	readonly #services = new Map<string, Counts>();
	#since = Number.NEGATIVE_INFINITY;
	#rowCount = 0;

	/** Counts a call that has arrived. */
	noteRequested(call: Call, now: number): void {
		this.#count(call, 2, now);
	}

	/** Counts a call that an endpoint accepted and that has ended, and for how many milliseconds it held a slot. */
	noteEnded(call: Call, heldMilliseconds: number, now: number): void {
		// The time of a call that is not counted would lengthen the mean.
		if (this.#count(call, 3, now)) {
			this.#countsOf(call.service, now).heldMilliseconds += heldMilliseconds;
		}
	}

	/** Returns what was counted since the last call, and begins anew. */
	take(now: number): ServiceDemand[] {
		this.#dropOld(now);
		const demand = [...this.#services].map(([service, {heldMilliseconds, rows}]) => ({
			service, heldMilliseconds: Math.round(heldMilliseconds), rows: [...rows.values()],
		}));
		this.#clear();
		return demand;
	}

	/** Returns whether the call was counted; beyond the bound of rows it is not. */
	#count({service, rank, workspace}: Call, column: 2 | 3, now: number): boolean {
		const {rows} = this.#countsOf(service, now);
		const key = `${rank} ${workspace}`;
		let row = rows.get(key);
		if (row === undefined) {
			if (this.#rowCount >= maxRows) {
				return false;
			}

			row = [rank, workspace, 0, 0];
			rows.set(key, row);
			this.#rowCount++;
		}

		row[column]++;
		return true;
	}

	#countsOf(service: string, now: number): Counts {
		this.#dropOld(now);
		let counts = this.#services.get(service);
		if (counts === undefined) {
			counts = {heldMilliseconds: 0, rows: new Map()};
			this.#services.set(service, counts);
		}

		return counts;
	}

	#dropOld(now: number): void {
		if (now - this.#since > maxAgeMilliseconds) {
			this.#clear();
		}

		if (this.#services.size === 0) {
			this.#since = now;
		}
	}

	#clear(): void {
		this.#services.clear();
		this.#rowCount = 0;
	}
}
