/**
 * The key that instances show to each other's relays. It is in the store, which only instances can read: the coordinator writes
 * it once, and every instance follows its table.
 */
import {randomBytes} from 'node:crypto';
import * as zod from 'zod';
import {type FeedRow} from '../../ports/table-feed.js';
import {type MomentClock} from '../../ports/moment-clock.js';
import {type TableService} from '../../ports/table-service.js';
import {alignedDelay} from '../../shared/aligned-delay.js';
import {InterruptibleSleep} from '../../shared/interruptible-sleep.js';
import {type Child} from '../../supervisor/supervisor.js';
import {weightsLeaseTable} from '../leadership/weights-lease.js';
import {type FeedHandler} from '../watchers/feed-update.js';

export type RelayKeyDependencies = {
	store: Pick<TableService, 'commit'>;
	clock: MomentClock;
	isCoordinator: () => boolean;
};

/** The key of its row; the row is there from the first coordinator on. */
export const relayKeyKey = 'relay-key';
const keyBytes = 24;
/** How often an instance checks, while the key is missing, whether it has become the coordinator. */
const checkIntervalMilliseconds = 500;
const rowSchema = zod.object({key: zod.string().min(1)});

export class RelayKey implements FeedHandler, Child {
	readonly name = 'relay-key';
	readonly #dependencies: RelayKeyDependencies;
	#current: string | undefined;
	#isMissing = false;
	readonly #pause: InterruptibleSleep;

	constructor(dependencies: RelayKeyDependencies) {
		this.#dependencies = dependencies;
		this.#pause = new InterruptibleSleep(dependencies.clock);
	}

	/** The key; `undefined` while this instance does not know it. */
	get current(): string | undefined {
		return this.#current;
	}

	handleSnapshot(rows: readonly FeedRow[]): void {
		this.#isMissing = true;
		this.handleChanges(rows);
		if (this.#isMissing) {
			this.#pause.interrupt();
		}
	}

	handleChanges(rows: readonly FeedRow[]): void {
		for (const {key, content, isDeleted} of rows) {
			const checked = key === relayKeyKey && !isDeleted ? rowSchema.safeParse(content) : undefined;
			if (checked?.success) {
				this.#current = checked.data.key;
				this.#isMissing = false;
			}
		}
	}

	handleFailure(): void {
		// The key stays valid while the store is unavailable.
	}

	/** Writes the key where the table has none; a restored store gets the one that the instances know. */
	async run(signal: AbortSignal): Promise<void> {
		const {store, clock, isCoordinator} = this.#dependencies;
		while (!signal.aborted) {
			if (this.#isMissing && isCoordinator()) {
				const row = {table: weightsLeaseTable, key: relayKeyKey};
				const key = this.#current ?? randomBytes(keyBytes).toString('base64url');
				await store.commit({conditions: [{...row, revision: 0}], writes: [{...row, value: {key}}]});
			}

			await (this.#isMissing ? this.#pause.sleep(alignedDelay(clock.moment().steady, checkIntervalMilliseconds), signal) : this.#pause.wait(signal));
		}
	}
}
