import assert from 'node:assert/strict';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {test} from 'node:test';
import {Left, Right} from 'purify-ts/Either';
import {CostPlacement} from '../../decision/placement/cost-placement.js';
import {type MomentClock} from '../../ports/moment-clock.js';
import {type FeedRow, type TableFeed} from '../../ports/table-feed.js';
import {ManualClock} from '../../test/manual-clock.js';
import {ConfigurationView} from '../configuration/configuration-view.js';
import {CrashFeedHandler} from '../crashes/crash-feed-handler.js';
import {CrashLedger} from '../crashes/crash-ledger.js';
import {crashTable, encodeReport, keyOfReport} from '../crashes/crash-report-rows.js';
import {type CrashReport} from '../crashes/crash-reports.js';
import {Evacuations} from '../endpoints/evacuations.js';
import {EndpointRegistry} from '../endpoints/endpoint-registry.js';
import {timingsOf} from '../gateway-settings.js';
import {DecisionLog} from '../observability/decision-log.js';
import {GatewayMetrics} from '../observability/gateway-metrics.js';
import {WeightTargets} from '../weights/weight-targets.js';
import {LoadingEngines} from './loading-engines.js';
import {type StoreSchema} from './store-schema.js';
import {TableFeeds} from './table-feeds.js';

const contactMilliseconds = 3000;
const timings = timingsOf({
	graceMilliseconds: 8000,
	heartbeatMilliseconds: 1200,
	leaseMilliseconds: 3000,
	drainMilliseconds: 2000,
	configurationMilliseconds: 2000,
	revocationMilliseconds: 5000,
	contactMilliseconds,
	warmUpRatio: 1, warmUpExtra: 0, weightsMilliseconds: 10_000,
	retryRatio: 0.2,
	retryWindowMilliseconds: 10_000,
});
const stepMilliseconds = 10;
const answerMilliseconds = 10;
const relayIntervalMilliseconds = 300;

const schema: StoreSchema = {
	operatorTable: 'operators',
	endpointTable: 'endpoints',
	readOperatorRow: () => Left(['not read here']),
	readEndpointRow: () => Left(['not read here']),
};

const report: CrashReport = {
	kind: 'crash', incarnation: 'a@1', instance: 'i9', at: 0, requests: [['fingerprint', 5]],
};

/** A store, the instance that reads it for the others, and one of these, in virtual time. */
class Instances {
	readonly time = new ManualClock(0);
	/** Calls by table, of all instances. */
	readonly calls = new Map<string, number>();
	readonly ledgers = {reader: new CrashLedger(), follower: new CrashLedger()};
	isReaderUp = true;
	readonly #stop = new AbortController();
	readonly #clock: MomentClock;
	readonly #feeds: Record<'reader' | 'follower', TableFeeds>;
	readonly #rows: FeedRow[] = [];
	#written = new AbortController();

	constructor() {
		const {time} = this;
		this.#clock = {
			moment: () => ({steady: time.now(), wall: time.now()}),
			sleep: async (milliseconds, signal) => time.sleep(milliseconds, signal),
		};
		this.#feeds = {reader: this.#start('reader'), follower: this.#start('follower')};
	}

	/** Writes a report to the store. */
	write(written: CrashReport): void {
		this.#rows.push({
			key: keyOfReport(written), content: encodeReport(written), isDeleted: false, revision: this.#rows.length + 1,
		});
		this.#written.abort();
		this.#written = new AbortController();
	}

	async advance(milliseconds: number): Promise<void> {
		for (let passed = 0; passed < milliseconds; passed += stepMilliseconds) {
			this.time.advance(stepMilliseconds);
			if (this.isReaderUp && this.time.now() % relayIntervalMilliseconds === 0) {
				this.#feeds.follower.applyUpdates(this.#feeds.reader.updatesFor(this.#feeds.follower.cursors()), this.#clock.moment());
			}

			await nextTurn();
			await nextTurn();
		}
	}

	stop(): void {
		this.#stop.abort();
	}

	#start(name: 'reader' | 'follower'): TableFeeds {
		const log = new DecisionLog({writableLength: 0, write: () => true}, {}, () => this.time.now());
		const feeds = new TableFeeds({
			configuration: new ConfigurationView({freshMilliseconds: 1000, leaseMilliseconds: 1000}),
			endpoints: new EndpointRegistry(),
			evacuations: new Evacuations({log, metrics: new GatewayMetrics()}),
			warmUps: {
				noteRow() {
					// No service of this test declares a warm-up.
				},
			},
			weightTargets: new WeightTargets(10_000),
			loadingEngines: new LoadingEngines(() => this.time.now()),
			log,
			metrics: new GatewayMetrics(),
			placement: new CostPlacement('zone', () => undefined),
		}, {
			store: this.#store(), storeSchema: schema, clock: this.#clock, random: () => 0.99, isReader: () => name === 'reader', isStandby: () => false,
		}, timings, new CrashFeedHandler(this.ledgers[name], {
			isPending: () => false,
			confirm() {
				// This instance writes no reports.
			},
			republish() {
				// No store is restored here.
			},
		}));
		for (const follower of feeds.followers) {
			void follower.run(this.#stop.signal);
		}

		return feeds;
	}

	#store(): TableFeed {
		const count = async (table: string): Promise<void> => {
			this.calls.set(table, (this.calls.get(table) ?? 0) + 1);
			await this.#clock.sleep(answerMilliseconds, this.#stop.signal);
		};

		const answer = (table: string, after: number) => Right({
			rows: table === crashTable ? this.#rows.filter(({revision}) => revision > after) : [], position: this.#rows.length, era: 0,
		});
		return {
			async readSnapshot(table) {
				await count(table);
				return answer(table, 0);
			},
			follow: async ({table, after, waitMilliseconds}) => {
				await count(table);
				if (table !== crashTable || after >= this.#rows.length) {
					await this.#clock.sleep(waitMilliseconds, AbortSignal.any([this.#stop.signal, ...(table === crashTable ? [this.#written.signal] : [])]));
				}

				return answer(table, after);
			},
		};
	}
}

test('crash reports cost no calls to the store beside those for the tables that are followed anyway', async context => {
	// Guards against a table of its own for each kind of report: each instance pays for it whenever its reader changes.
	const instances = new Instances();
	context.after(() => {
		instances.stop();
	});
	await instances.advance(3000);
	assert.equal(instances.calls.size, 3, [...instances.calls.keys()].join(' '));

	const before = instances.calls.get(crashTable)!;
	await instances.advance(30_000);
	const calls = instances.calls.get(crashTable)! - before;
	assert.ok(calls <= 35, `${calls} calls in 30 s without a change`);
});

test('a report that was written is known at another instance with the next update that is relayed', async context => {
	const instances = new Instances();
	context.after(() => {
		instances.stop();
	});
	await instances.advance(6000);
	instances.write(report);
	await instances.advance(relayIntervalMilliseconds + (3 * stepMilliseconds));
	assert.equal(instances.ledgers.follower.reports().size, 1);
});

test('a report is known within the contact time, whenever the reader fails', async context => {
	// Guards against a request that goes on crashing endpoints through an instance that still waits for the reader's updates.
	for (let failsAt = 6000; failsAt <= 7200; failsAt += 100) {
		const instances = new Instances();
		context.after(() => {
			instances.stop();
		});
		await instances.advance(failsAt);
		instances.isReaderUp = false;
		await instances.advance(stepMilliseconds);
		instances.write(report);
		await instances.advance(contactMilliseconds - 300);
		assert.equal(instances.ledgers.follower.reports().size, 1, `the reader failed at ${failsAt} ms`);
	}
});
