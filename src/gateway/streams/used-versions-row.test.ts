import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {Right} from 'purify-ts/Either';
import {type Moment} from '../../ports/moment-clock.js';
import {type FeedRow} from '../../ports/table-feed.js';
import {type Transaction} from '../../ports/table-service.js';
import {systemMomentClock} from '../../adapters/system-moment-clock.js';
import {ChangeSignal} from '../../shared/change-signal.js';
import {type JsonValue} from '../../shared/types.js';
import {waitUntil} from '../../test/wait-until.js';
import {type UsedVersions} from '../endpoints/version-history.js';
import {relayKeyKey} from '../relay/relay-key.js';
import {testRoute} from '../testing/test-configuration.js';
import {UsedVersionsRow, usedVersionsKey} from './used-versions-row.js';

const at: Moment = {steady: 5000, wall: 5000};

function rowOf(key: string, content: JsonValue, revision = 7): FeedRow {
	return {
		key, content, isDeleted: false, revision,
	};
}

/** An instance's row before a store that accepts all writes. */
class Instance {
	isCoordinator = true;
	used: UsedVersions = new Map([['desk', ['v1']]]);
	readonly changes = new ChangeSignal();
	readonly covered: Array<UsedVersions | 'none'> = [];
	readonly confirmed: number[] = [];
	readonly commits: Transaction[] = [];
	readonly row = new UsedVersionsRow({
		clock: systemMomentClock,
		store: {
			commit: async transaction => {
				this.commits.push(transaction);
				return Right(undefined);
			},
		},
		configuration: {current: {routes: [testRoute({kind: 'resumable-stream'}), testRoute({kind: 'stream', targets: [{service: 'other', weight: 1}]})]}},
		endpoints: {
			coverVersions: used => {
				this.covered.push(used);
			},
			confirmCoveredVersions: confirmedAt => {
				this.confirmed.push(confirmedAt);
			},
			usedVersions: () => this.used,
			versionChanges: this.changes,
		},
		isCoordinator: () => this.isCoordinator,
	});

	run(context: TestContext): void {
		const stop = new AbortController();
		const running = this.row.run(stop.signal);
		context.after(async () => {
			stop.abort();
			await running;
		});
	}
}

test('what the row names is covered, and confirmed by each later answer of the store', () => {
	const {row, covered, confirmed} = new Instance();
	row.handleSnapshot([rowOf(relayKeyKey, {key: 'k'}), rowOf(usedVersionsKey, {services: [['desk', ['v1', 'v2']]]})], at, at, 'live');
	row.handleChanges([rowOf('crash', {})], {steady: 6000, wall: 6000}, at, 'relayed');
	assert.deepEqual(covered, [new Map([['desk', ['v1', 'v2']]])]);
	assert.deepEqual(confirmed, [6000]);
});

test('only a table without the key of relays shows that no instance has served before', () => {
	// Guards against a proof from the list alone at an instance that was updated while others ran the former release.
	const [fresh, updated] = [new Instance(), new Instance()];
	fresh.row.handleSnapshot([], at, at, 'live');
	updated.row.handleSnapshot([rowOf(relayKeyKey, {key: 'k'})], at, at, 'live');
	assert.deepEqual([fresh.covered, updated.covered], [['none'], []]);
});

test('a store that was restored from a copy proves nothing', () => {
	const {row, covered, confirmed} = new Instance();
	row.handleSnapshot([rowOf(usedVersionsKey, {services: [['desk', ['v1']]]})], at, at, 'restored');
	row.handleChanges([], at, at, 'restored');
	row.handleSnapshot([], at, at, 'restored');
	assert.deepEqual([covered, confirmed], [[], []]);
});

test('a row that cannot be read covers nothing, and is replaced', async context => {
	const instance = new Instance();
	instance.row.handleSnapshot([rowOf(relayKeyKey, {key: 'k'}), rowOf(usedVersionsKey, {services: 'all'}, 9)], at, at, 'live');
	assert.deepEqual(instance.covered, []);
	instance.run(context);
	await waitUntil(() => instance.commits.length > 0);
	assert.equal(instance.commits[0]!.conditions[0]!.revision, 9);
});

test('the coordinator writes the versions of services with streams that can be resumed, and only what has changed', async context => {
	const instance = new Instance();
	instance.used = new Map([['desk', ['v1']], ['other', ['v1']]]);
	instance.row.handleSnapshot([], at, at, 'live');
	instance.run(context);
	await waitUntil(() => instance.commits.length > 0);
	const [{conditions, writes}] = instance.commits as [Transaction];
	assert.deepEqual([conditions[0]!.revision, writes[0]!.value], [0, {services: [['desk', ['v1']]]}]);
	instance.row.handleChanges([rowOf(usedVersionsKey, writes[0]!.value!, 8)], at, at, 'live');
	const count = instance.commits.length;
	instance.changes.notify();
	await new Promise(resolve => {
		setTimeout(resolve, 50);
	});
	assert.equal(instance.commits.length, count);
	instance.used = new Map([['desk', ['v1', 'v2']]]);
	instance.changes.notify();
	await waitUntil(() => instance.commits.length > count);
	const last = instance.commits.at(-1)!;
	assert.deepEqual([last.conditions[0]!.revision, last.writes[0]!.value], [8, {services: [['desk', ['v1', 'v2']]]}]);
});

test('an instance that does not know all versions of a service leaves what the row says of it', async context => {
	// Guards against a row that lacks a version whose streams still last, written by a coordinator that has just started.
	const instance = new Instance();
	instance.used = new Map();
	instance.row.handleSnapshot([rowOf(relayKeyKey, {key: 'k'}), rowOf(usedVersionsKey, {services: [['desk', ['v1', 'v2']]]})], at, at, 'live');
	instance.run(context);
	await new Promise(resolve => {
		setTimeout(resolve, 50);
	});
	assert.deepEqual(instance.commits, []);
});

test('an instance that is not the coordinator writes nothing', async context => {
	const instance = new Instance();
	instance.isCoordinator = false;
	instance.row.handleSnapshot([], at, at, 'live');
	instance.run(context);
	await new Promise(resolve => {
		setTimeout(resolve, 50);
	});
	assert.deepEqual(instance.commits, []);
});
