/**
 * Origins of streams in the platform's store, for the case that all instances which know a stream end at the same time, as when a
 * data centre loses its power. One instance of a data centre, the recorder, writes what the others send it, a few times a second at
 * most and only for services with several software versions. An instance reads them when nobody else knows a stream.
 *
 * A recorder writes its rows in turn, each for the records of one write, and overwrites the oldest: nothing has to be deleted. A
 * record that is not written yet, or is overwritten, makes its stream unknown; no record can be wrong, since an attempt's id is used
 * once.
 */
import {Buffer} from 'node:buffer';
import * as zod from 'zod';
import {type MomentClock} from '../../ports/moment-clock.js';
import {type Row, type RowWrite, type TableService} from '../../ports/table-service.js';
import {InterruptibleSleep} from '../../shared/interruptible-sleep.js';
import {type JsonValue} from '../../shared/types.js';
import {type Child} from '../../supervisor/supervisor.js';
import {type OriginRecord} from './origin-records.js';
import {maxOriginNumbers, packRecord, unpackRecords} from './stream-messages.js';

export type StoredOriginsDependencies = {
	store: Pick<TableService, 'commit' | 'scan'>;
	clock: MomentClock;
	instance: string;
	/** Whether a service has had several software versions while streams that still last can have begun. */
	hasSeveralVersions: (service: string) => boolean;
};

/** How a read of the store ended; `recent`: it was read a moment ago, and nothing else is known yet. */
export type StoredRead = {kind: 'read'; records: OriginRecord[]} | {kind: 'recent'} | {kind: 'unavailable'};

const table = 'stream-origins';
const keyPrefix = 'records/';
/** A stream that began within this time before its instances ended is unknown. */
const writeIntervalMilliseconds = 300;
/** The same after a failed write: a store that does not answer is not called more often. */
const retryMilliseconds = 2000;
const minReadIntervalMilliseconds = 1000;
/** How many writes a recorder keeps. */
const slots = 128;
/** Records in a row: packed and encoded, they take a third of what a row may hold. */
const recordsPerRow = 1000;
const rowsPerWrite = 16;
const rowsPerPage = 500;
const maxPages = 20;
const rowSchema = zod.object({origins: zod.array(zod.tuple([zod.string(), zod.string()])).max(maxOriginNumbers), records: zod.base64()});

export class StoredOrigins implements Child {
	readonly name = 'stored-origins';
	readonly #dependencies: StoredOriginsDependencies;
	readonly #pause: InterruptibleSleep;
	/** Records to be written, by key. */
	readonly #pending = new Map<string, OriginRecord>();
	/** A process that has just started goes on after the rows that its predecessor wrote, by the wall clock. */
	#nextSlot: number;
	#readAt = Number.NEGATIVE_INFINITY;
	#reading: Promise<StoredRead> | undefined;

	constructor(dependencies: StoredOriginsDependencies) {
		this.#dependencies = dependencies;
		this.#pause = new InterruptibleSleep(dependencies.clock);
		this.#nextSlot = Math.floor(dependencies.clock.moment().wall / writeIntervalMilliseconds) % slots;
	}

	/** Adds records to the next write; those beyond what a write holds are dropped. */
	add(records: readonly OriginRecord[]): void {
		for (const record of records) {
			if (this.#pending.size < recordsPerRow * rowsPerWrite && this.#dependencies.hasSeveralVersions(record.origin.service)) {
				this.#pending.set(record.key, record);
			}
		}

		if (this.#pending.size > 0) {
			this.#pause.interrupt();
		}
	}

	/** Reads the records of all instances, unless they were read a moment ago. Requests that ask at the same time share one read. */
	async read(): Promise<StoredRead> {
		if (this.#reading !== undefined) {
			return this.#reading;
		}

		const now = this.#dependencies.clock.moment().steady;
		if (now - this.#readAt < minReadIntervalMilliseconds) {
			return {kind: 'recent'};
		}

		this.#readAt = now;
		this.#reading = this.#readAll();
		try {
			return await this.#reading;
		} finally {
			this.#reading = undefined;
		}
	}

	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			if (this.#pending.size === 0) {
				await this.#pause.wait(signal);
			}

			const isWritten = await this.#write();
			await this.#dependencies.clock.sleep(isWritten ? writeIntervalMilliseconds : retryMilliseconds, signal);
		}
	}

	/** Returns whether all that was pending is written; records of a failed write are written with the next one. */
	async #write(): Promise<boolean> {
		const records = [...this.#pending.values()];
		if (records.length === 0) {
			return true;
		}

		this.#pending.clear();
		const slot = this.#nextSlot;
		this.#nextSlot = (slot + 1) % slots;
		const writes = rowsOf(records).map((value, index): RowWrite => ({table, key: `${keyPrefix}${this.#dependencies.instance}/${slot}/${index}`, value}));
		const written = await this.#dependencies.store.commit({conditions: [], writes});
		if (written.isLeft()) {
			for (const record of records) {
				this.#pending.set(record.key, record);
			}
		}

		return written.isRight();
	}

	async #readAll(): Promise<StoredRead> {
		const records: OriginRecord[] = [];
		let after = '';
		for (let page = 0; page < maxPages; page++) {
			const answer = await this.#dependencies.store.scan({
				table, prefix: keyPrefix, after, limit: rowsPerPage,
			});
			if (answer.isLeft()) {
				return {kind: 'unavailable'};
			}

			// A page may have fewer rows than the limit because of their size, so only an empty one is the last.
			const rows = answer.orDefault([]);
			const last = rows.at(-1);
			if (last === undefined) {
				break;
			}

			records.push(...rows.flatMap(row => recordsOf(row)));
			after = last.key;
		}

		return {kind: 'read', records};
	}
}

function rowsOf(records: readonly OriginRecord[]): JsonValue[] {
	const rows: JsonValue[] = [];
	for (let start = 0; start < records.length; start += recordsPerRow) {
		rows.push(rowOf(records.slice(start, start + recordsPerRow)));
	}

	return rows;
}

function rowOf(records: readonly OriginRecord[]): JsonValue {
	const numbers = new Map<string, number>();
	const origins: Array<[string, string]> = [];
	const packed: Buffer[] = [];
	for (const record of records) {
		const {service, softwareVersion} = record.origin;
		const name = JSON.stringify([service, softwareVersion]);
		let number = numbers.get(name);
		if (number === undefined && origins.length < maxOriginNumbers) {
			number = origins.length;
			numbers.set(name, number);
			origins.push([service, softwareVersion]);
		}

		if (number !== undefined) {
			packed.push(packRecord(record, number));
		}
	}

	return {origins, records: Buffer.concat(packed).toString('base64')};
}

/** The records of a row; none of one that cannot be read. */
function recordsOf({value}: Row): OriginRecord[] {
	const checked = rowSchema.safeParse(value);
	if (!checked.success) {
		return [];
	}

	const {origins, records} = checked.data;
	return unpackRecords(Buffer.from(records, 'base64'), new Map(origins.map(([service, softwareVersion], number) => [number, {service, softwareVersion}]))) ?? [];
}
