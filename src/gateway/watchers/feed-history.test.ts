import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type FeedRow} from '../../ports/table-feed.js';
import {FeedHistory} from './feed-history.js';

const row = (key: string, revision: number, content = ''): FeedRow => ({
	key, content, isDeleted: false, revision,
});
const keysOf = (rows: FeedRow[] | undefined): string[] | undefined => rows?.map(({key}) => key);

test('changes after a position are returned, and none if some are missing', () => {
	const history = new FeedHistory();
	assert.equal(history.rowsAfter(0), undefined);
	history.reset(10);
	history.add([row('a', 12), row('b', 13)], 13, 0);
	history.add([row('c', 20)], 25, 100);
	assert.deepEqual(keysOf(history.rowsAfter(10)), ['a', 'b', 'c']);
	assert.deepEqual(keysOf(history.rowsAfter(12)), ['b', 'c']);
	assert.deepEqual(keysOf(history.rowsAfter(25)), []);
	assert.equal(history.rowsAfter(9), undefined);
});

test('old changes are dropped, and an instance that needs them has to read the table', () => {
	const history = new FeedHistory();
	history.reset(0);
	history.add([row('a', 1)], 1, 0);
	history.add([row('b', 2)], 2, 60_000);
	assert.equal(history.rowsAfter(0), undefined);
	assert.deepEqual(keysOf(history.rowsAfter(1)), ['b']);
});

test('large rows are not relayed', () => {
	// Guards against a coordinator that sends a large configuration to all other instances over the link of one machine.
	const history = new FeedHistory();
	history.reset(0);
	history.add([row('a', 1, 'x'.repeat(100_000))], 1, 0);
	history.add([row('b', 2)], 2, 0);
	assert.equal(history.rowsAfter(0), undefined);
	assert.deepEqual(keysOf(history.rowsAfter(1)), ['b']);
});
