/**
 * The demand for one service over the last second, and how long its calls hold a slot, from the reports of all instances.
 *
 * Sums are kept up to date as reports arrive and age, since the coordinator of a large deployment reads them several times a
 * second for thousands of workspaces.
 */
import {type ServiceDemand} from './service-demand.js';

/** Width of a bucket; sums change only as often as buckets age. */
const bucketMilliseconds = 100;
/** Buckets of a second, and those of its newer half. */
const bucketCount = 10;
const recentBucketCount = 5;
/** Time over which observed service times fade: they change with the load, but a tenth of a second has too few calls. */
const serviceTimeDecayMilliseconds = 3000;

/** The calls of one workspace and rank. */
export type WindowRow = {
	rank: number;
	workspace: string;
	/** Calls that have arrived within the last second, and within its newer half. */
	requested: number;
	recent: number;
	/** Calls that have ended within the last second. */
	ended: number;
};

type Bucket = {index: number; isRecent: boolean; counts: Map<WindowRow, {requested: number; ended: number}>};

export class DemandWindow {
	/** The oldest one first. */
	readonly #buckets: Bucket[] = [];
	readonly #rows = new Map<string, WindowRow>();
	#heldMilliseconds = 0;
	#ended = 0;
	#updatedAt = 0;

	/** Adds what an instance has reported; it counts from its arrival. */
	add({heldMilliseconds, rows}: ServiceDemand, now: number): void {
		const kept = Math.exp((this.#updatedAt - now) / serviceTimeDecayMilliseconds);
		this.#heldMilliseconds = (this.#heldMilliseconds * kept) + heldMilliseconds;
		this.#ended = rows.reduce((sum, row) => sum + row[3], this.#ended * kept);
		this.#updatedAt = now;
		this.#age(now);
		const {counts} = this.#bucketAt(now);
		for (const [rank, workspace, requested, ended] of rows) {
			const row = this.#rowOf(rank, workspace);
			const count = counts.get(row) ?? {requested: 0, ended: 0};
			counts.set(row, count);
			count.requested += requested;
			count.ended += ended;
			row.requested += requested;
			row.recent += requested;
			row.ended += ended;
		}
	}

	/** The calls by rank and workspace; since the window is a second long, `requested` is a rate per second. */
	rows(now: number): WindowRow[] {
		this.#age(now);
		return [...this.#rows.values()];
	}

	/** Mean time for which a call holds a slot, in milliseconds; `undefined` before any has ended. */
	get meanHeldMilliseconds(): number | undefined {
		return this.#ended > 0 && this.#heldMilliseconds > 0 ? this.#heldMilliseconds / this.#ended : undefined;
	}

	/** Subtracts what has left the window, or its newer half. */
	#age(now: number): void {
		const newest = indexAt(now);
		for (const bucket of this.#buckets) {
			if (bucket.isRecent && newest - bucket.index >= recentBucketCount) {
				bucket.isRecent = false;
				for (const [row, {requested}] of bucket.counts) {
					row.recent -= requested;
				}
			}
		}

		while (this.#buckets[0] !== undefined && newest - this.#buckets[0].index >= bucketCount) {
			for (const [row, {requested, ended}] of this.#buckets.shift()!.counts) {
				row.requested -= requested;
				row.ended -= ended;
				const key = keyOf(row.rank, row.workspace);
				// A younger row of the same workspace may have replaced one without any calls.
				if (row.requested === 0 && row.ended === 0 && this.#rows.get(key) === row) {
					this.#rows.delete(key);
				}
			}
		}
	}

	#bucketAt(now: number): Bucket {
		const index = indexAt(now);
		let bucket = this.#buckets.at(-1);
		if (bucket?.index !== index) {
			bucket = {index, isRecent: true, counts: new Map()};
			this.#buckets.push(bucket);
		}

		return bucket;
	}

	#rowOf(rank: number, workspace: string): WindowRow {
		const key = keyOf(rank, workspace);
		let row = this.#rows.get(key);
		if (row === undefined) {
			row = {
				rank, workspace, requested: 0, recent: 0, ended: 0,
			};
			this.#rows.set(key, row);
		}

		return row;
	}
}

function indexAt(now: number): number {
	return Math.floor(now / bucketMilliseconds);
}

function keyOf(rank: number, workspace: string): string {
	return `${rank} ${workspace}`;
}
