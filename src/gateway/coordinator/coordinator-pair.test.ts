import assert from 'node:assert/strict';
import {once} from 'node:events';
import {type AddressInfo, createServer} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {Left, Right} from 'purify-ts/Either';
import {systemMomentClock as clock} from '../../adapters/system-moment-clock.js';
import {type FeedRow, type FollowQuery, type TableFeed} from '../../ports/table-feed.js';
import {MemoryTable} from '../../test/memory-table.js';
import {ConfigurationView} from '../configuration/configuration-view.js';
import {EndpointRegistry} from '../endpoints/endpoint-registry.js';
import {DecisionLog} from '../observability/decision-log.js';
import {GatewayMetrics} from '../observability/gateway-metrics.js';
import {testFollower} from '../testing/test-follower.js';
import {FeedFollower} from '../watchers/feed-follower.js';
import {CoordinatorPair} from './coordinator-pair.js';
import {CoordinatorView} from './coordinator-view.js';

/** A store with a growing table; its feed answers when there are changes, or when the wait is over. */
class GrowingStore extends MemoryTable implements TableFeed {
	readonly rows: FeedRow[] = [];
	position = 1;
	/** The instances that called the feed. */
	readonly callers = new Set<string>();

	add(row: Omit<FeedRow, 'revision'>): void {
		this.position++;
		this.rows.push({...row, revision: this.position});
	}

	async readSnapshot() {
		return Right({rows: [...this.rows], position: this.position, era: 0});
	}

	async follow({after, waitMilliseconds}: FollowQuery) {
		const until = clock.moment().steady + waitMilliseconds;
		while (this.position <= after && clock.moment().steady < until) {
			await pause(5);
		}

		return Right({rows: this.rows.filter(({revision}) => revision > after), position: this.position, era: 0});
	}
}

/** No connection of another test starts from this address, so none takes the port meanwhile. */
const listenHost = '127.0.0.9';

async function freeAddress(): Promise<string> {
	const server = createServer().listen(0, listenHost);
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return `${listenHost}:${port}`;
}

async function until(what: string, isTrue: () => boolean, withinMilliseconds: number): Promise<void> {
	const deadline = clock.moment().steady + withinMilliseconds;
	while (!isTrue()) {
		assert.ok(clock.moment().steady < deadline, `not in time: ${what}`);
		await pause(10);
	}
}

/** An instance that may be the coordinator or the standby, and follows one table. */
async function startInstance(name: string, store: GrowingStore) {
	const log = new DecisionLog({writableLength: 0, write: () => true}, {}, Date.now);
	const stop = new AbortController();
	const received: FeedRow[] = [];
	const record = (rows: readonly FeedRow[]): void => {
		received.push(...rows);
	};

	const pair: CoordinatorPair = new CoordinatorPair({
		clock, log, metrics: new GatewayMetrics(), configuration: new ConfigurationView({freshMilliseconds: 1000, leaseMilliseconds: 1000}), dataCentre: 'split', endpoints: new EndpointRegistry(),
	}, {
		store,
		control: {list: async () => Left('none'), events: async () => Left('none'), free: async () => Left('none')},
		view: new CoordinatorView(),
		addresses: {hub: await freeAddress(), 'hub-deputy': await freeAddress()},
		follower: testFollower({
			instance: name,
			cursors: () => follower.cursor === undefined ? {} : {list: follower.cursor},
			applyTableUpdates(updates, queriedAt) {
				for (const one of updates) {
					follower.applyUpdate(one, queriedAt);
				}
			},
		}),
		reportWriter: {
			adopt() {
				// No endpoint crashes here.
			},
			isUnwritten: () => false,
		},
		tableUpdates(cursors) {
			const update = cursors.list === undefined ? undefined : follower.updateFor(cursors.list);
			return update === undefined ? [] : [update];
		},
	});
	const follower = new FeedFollower({
		readSnapshot: async () => store.readSnapshot(),
		async follow(query) {
			store.callers.add(name);
			return store.follow(query);
		},
	}, {
		table: 'list', waitMilliseconds: 2000, readerWaitMilliseconds: 300, maxRelayedAgeMilliseconds: 1200,
	}, {
		handleSnapshot: record,
		handleChanges: record,
		handleFailure() {
			// The store does not fail here.
		},
	}, {
		clock, log, random: () => 0, isReader: () => pair.isReader, isStandby: () => pair.isStandby,
	});
	for (const child of [follower, ...pair.children()]) {
		void child.run(stop.signal);
	}

	return {
		pair, received, stop, name,
	};
}

/** Four instances, once one of them is the coordinator and another one the standby. */
async function startInstances(context: TestContext) {
	const store = new GrowingStore();
	const startedAt = clock.moment().steady;
	const ticking = setInterval(() => {
		store.now = clock.moment().steady - startedAt;
	}, 10);
	const instances = await Promise.all(['i1', 'i2', 'i3', 'i4'].map(async name => startInstance(name, store)));
	context.after(() => {
		clearInterval(ticking);
		for (const {stop} of instances) {
			stop.abort();
		}
	});
	await until('all instances report to a coordinator', () => instances.every(({pair}) => pair.instances === instances.length), 8000);
	const readStandby = async (): Promise<string | undefined> => {
		const read = await store.read({table: 'leases', key: 'hub-deputy'});
		return (read.unsafeCoerce()?.value as {holder: string} | undefined)?.holder;
	};

	const deadline = clock.moment().steady + 8000;
	while (await readStandby() === undefined && clock.moment().steady < deadline) {
		await pause(20);
	}

	return {
		store, instances, coordinator: instances.find(({pair}) => pair.isCoordinator)!, standbyName: await readStandby(),
	};
}

test('all instances receive the rows as the store has them, by calls of one', async context => {
	// Guards against calls that grow with the number of instances, and against rows that are altered by the relay.
	const {store, instances, coordinator, standbyName} = await startInstances(context);
	assert.equal(instances.filter(({pair}) => pair.isCoordinator).length, 1);
	assert.notEqual(standbyName, undefined);
	assert.notEqual(standbyName, coordinator.name);
	await pause(2200);
	store.callers.clear();
	const rows = [
		{key: 'a', content: {text: 'ä', list: [1, 2.5, null, true], nested: {empty: ''}}, isDeleted: false},
		{key: 'b', content: undefined, isDeleted: false},
		{key: 'c', content: undefined, isDeleted: true},
	];
	for (const row of rows) {
		store.add(row);
	}

	await until('all instances have the rows', () => instances.every(({received}) => received.length === rows.length), 1000);
	for (const {received} of instances) {
		assert.deepEqual(received.map(({key, content, isDeleted}) => ({key, content, isDeleted})), rows);
	}

	await pause(1500);
	assert.deepEqual([...store.callers], [coordinator.name]);
});

test('when the coordinator stops, the standby reads the tables for all until another instance may be the coordinator', async context => {
	// Guards against changes that no instance receives, and against calls of all instances, for as long as the lease of the
	// coordinator runs.
	const {store, instances, coordinator, standbyName} = await startInstances(context);
	await pause(2200);
	coordinator.stop.abort();
	const others = instances.filter(instance => instance !== coordinator);
	store.callers.clear();
	await pause(1600);
	store.add({key: 'late', content: 1, isDeleted: false});
	await until('the others have the row', () => others.every(({received}) => received.some(({key}) => key === 'late')), 1500);
	assert.deepEqual([...store.callers], [standbyName]);
	assert.equal(others.some(({pair}) => pair.isCoordinator), false, 'another instance is the coordinator too soon');
});
