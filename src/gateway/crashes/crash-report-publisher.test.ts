import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {type Either, Left, Right} from 'purify-ts/Either';
import {type FeedRow} from '../../ports/table-feed.js';
import {type TableFailure, type TableService, type Transaction} from '../../ports/table-service.js';
import {VirtualTime} from '../testing/virtual-time.js';
import {CrashFeedHandler} from './crash-feed-handler.js';
import {CrashLedger} from './crash-ledger.js';
import {CrashReportPublisher} from './crash-report-publisher.js';
import {keyOfReport} from './crash-report-rows.js';
import {type CrashReport} from './crash-reports.js';

const instances = 300;
const endpoints = 26;
/** The store applies one transaction after another. */
const transactionMilliseconds = 5;
const maxBacklogMilliseconds = 1000;
const timeoutMilliseconds = 700;
/** How long a report takes to the coordinator, and a row back from the table. */
const relayMilliseconds = 20;
const feedMilliseconds = 50;

/** A store that applies transactions one after another, and rejects them while more than a second of them waits. */
class SerialStore implements Pick<TableService, 'commit'> {
	isDown = false;
	calls = 0;
	readonly rows = new Set<string>();
	onRows: (keys: readonly string[]) => void = ignore;
	readonly #time: VirtualTime;
	#freeAt = 0;

	constructor(time: VirtualTime) {
		this.#time = time;
	}

	async commit({writes}: Transaction): Promise<Either<TableFailure, void>> {
		const {clock, now} = this.#time;
		this.calls++;
		if (this.isDown || this.#freeAt - now > maxBacklogMilliseconds) {
			return Left({kind: 'unavailable', detail: 'status 429'});
		}

		this.#freeAt = Math.max(this.#freeAt, now) + transactionMilliseconds;
		const milliseconds = this.#freeAt - now;
		const keys = writes.map(({key}) => key);
		const applied = clock.sleep(milliseconds, unused).then(() => {
			for (const key of keys) {
				this.rows.add(key);
			}

			this.onRows(keys);
		});
		if (milliseconds > timeoutMilliseconds) {
			await clock.sleep(timeoutMilliseconds, unused);
			return Left({kind: 'outcome-unknown', detail: 'timeout'});
		}

		await applied;
		return Right(undefined);
	}
}

const unused = new AbortController().signal;

function ignore(): void {
	// Nobody follows the table.
}

function reportOf(instance: string, endpoint: number): CrashReport {
	return {
		kind: 'crash', incarnation: `i${endpoint}@1`, instance, at: endpoint, requests: [[`${instance}-${endpoint}`, 1]],
	};
}

/** Instances that write to one store; the first one is the coordinator unless there is none. */
function startInstances(context: TestContext, {hasCoordinator}: {hasCoordinator: boolean}) {
	const time = new VirtualTime();
	const store = new SerialStore(time);
	const stop = new AbortController();
	let drawn = 0;
	const all = Array.from({length: instances}, (_, number) => {
		const ledger = new CrashLedger();
		const publisher: CrashReportPublisher = new CrashReportPublisher({
			instance: `e${number}`,
			ledger,
			store,
			clock: time.clock,
			log: {record: ignore},
			isCoordinator: () => hasCoordinator && number === 0,
			hasCoordinator: () => hasCoordinator,
			passOn() {
				if (hasCoordinator && number > 0) {
					void time.clock.sleep(relayMilliseconds, unused).then(() => {
						all[0]!.publisher.adopt(publisher.unconfirmed());
					});
				}
			},
			instances: () => instances,
			random: () => (drawn++ * 0.618) % 1,
		});
		void publisher.run(stop.signal);
		return {publisher, ledger, handler: new CrashFeedHandler(ledger, publisher)};
	});
	store.onRows = keys => {
		void time.clock.sleep(feedMilliseconds, unused).then(() => {
			for (const {ledger, handler} of all) {
				const rows = keys.flatMap((key): FeedRow[] => {
					const report = ledger.reports().get(key);
					return report === undefined
						? []
						: [{
							key, content: report, revision: 1, isDeleted: false,
						}];
				});
				handler.handleChanges(rows, time.clock.moment(), time.clock.moment());
			}
		});
	};

	context.after(() => {
		stop.abort();
	});
	return {time, store, all};
}

/** Lets many endpoints crash at the same moment, and returns how many renewals of a lease the store has refused or lost. */
async function crashMany(context: TestContext, options: {hasCoordinator: boolean}) {
	const {time, store, all} = startInstances(context, options);
	await time.settle();
	let failedRenewals = 0;
	let renewals = 0;
	const renew = async (): Promise<void> => {
		for (;;) {
			renewals++;
			const renewed = await store.commit({conditions: [], writes: [{table: 'leases', key: 'hub', value: {}}]});
			failedRenewals += renewed.isLeft() ? 1 : 0;
			await time.clock.sleep(250, unused);
		}
	};

	void renew();
	for (let endpoint = 0; endpoint < endpoints; endpoint++) {
		for (const {publisher} of all) {
			publisher.publish(reportOf(`e${all.findIndex(one => one.publisher === publisher)}`, endpoint));
		}

		await time.pass(50);
	}

	await time.pass(300_000);
	const missing = all.flatMap((_, instance) => Array.from({length: endpoints}, (_unused, endpoint) => keyOfReport(reportOf(`e${instance}`, endpoint)))).filter(key => !store.rows.has(key));
	const unconfirmed = all.filter(({publisher}) => publisher.unconfirmed().length > 0).length;
	return {
		failedRenewals, calls: store.calls - renewals, missing, unconfirmed,
	};
}

for (const hasCoordinator of [true, false]) {
	test(`reports of many crashes at all instances do not keep the coordinator from renewing its lease ${hasCoordinator ? '' : '(no coordinator answers)'}`, async context => {
		// Guards against a lease that lapses because the transactions of hundreds of instances are applied before its renewal.
		const {failedRenewals, calls, missing, unconfirmed} = await crashMany(context, {hasCoordinator});
		assert.equal(failedRenewals, 0);
		assert.deepEqual(missing, []);
		assert.equal(unconfirmed, 0);
		assert.ok(calls <= 3 * instances, `${calls} calls`);
	});
}

test('reports are written by their instances if the coordinator does not write them', async context => {
	const {time, store, all} = startInstances(context, {hasCoordinator: true});
	all[0]!.publisher.adopt = ignore;
	all[1]!.publisher.publish(reportOf('e1', 0));
	await time.pass(4500);
	assert.equal(store.rows.size, 0);
	await time.pass(8000);
	assert.deepEqual([...store.rows], [keyOfReport(reportOf('e1', 0))]);
});

test('while the store is unavailable, the instances together call it less and less often, and write their reports once it is back', async context => {
	const {time, store, all} = startInstances(context, {hasCoordinator: false});
	store.isDown = true;
	for (const [number, {publisher}] of all.entries()) {
		publisher.publish(reportOf(`e${number}`, 0));
	}

	await time.pass(20_000);
	const before = store.calls;
	await time.pass(10_000);
	assert.ok(store.calls - before <= 5 * instances, `${store.calls - before} calls`);
	store.isDown = false;
	await time.pass(12_000);
	assert.equal(store.rows.size, instances);
});
