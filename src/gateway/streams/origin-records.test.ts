import assert from 'node:assert/strict';
import {test} from 'node:test';
import {OriginRecords} from './origin-records.js';

const first = {service: 'chat', softwareVersion: '1'};
const second = {service: 'chat', softwareVersion: '2'};
const other = {service: 'draw', softwareVersion: '1'};

test('a record is found until it expires', () => {
	const records = new OriginRecords(10);
	records.put('a', first, 5000, 1000);
	assert.deepEqual(records.recordOf('a', 1000), {key: 'a', origin: first, remainingMilliseconds: 5000});
	assert.deepEqual(records.recordOf('a', 5999)?.origin, first);
	assert.equal(records.recordOf('a', 6000), undefined);
	assert.equal(records.recordOf('b', 1000), undefined);
});

test('a record is kept for 2 minutes at most', () => {
	const records = new OriginRecords(10);
	records.put('a', first, 3_600_000, 0);
	assert.equal(records.recordOf('a', 119_999)?.remainingMilliseconds, 1);
	assert.equal(records.recordOf('a', 120_000), undefined);
});

test('expired records are removed from memory', () => {
	const records = new OriginRecords(10);
	records.put('a', first, 1000, 0);
	records.put('b', first, 9000, 0);
	records.put('c', first, 9000, 2000);
	assert.equal(records.size, 2);
});

test('beyond the limit the record that expires first is dropped', () => {
	const records = new OriginRecords(2);
	records.put('long', first, 90_000, 0);
	records.put('short', first, 5000, 0);
	records.put('new', first, 20_000, 0);
	assert.equal(records.size, 2);
	assert.equal(records.recordOf('short', 0), undefined);
	assert.deepEqual(['long', 'new'].map(key => records.recordOf(key, 0)?.origin), [first, first]);
});

test('the newest record of a key replaces the earlier one', () => {
	const records = new OriginRecords(10);
	records.put('a', first, 5000, 0);
	records.put('a', second, 60_000, 0);
	records.put('a', second, 2000, 0);
	assert.equal(records.size, 1);
	assert.deepEqual(records.recordOf('a', 0), {key: 'a', origin: second, remainingMilliseconds: 2000});
});

test('the records of a service are listed', () => {
	const records = new OriginRecords(10);
	records.put('a', first, 5000, 0);
	records.put('b', other, 5000, 0);
	records.put('c', second, 9000, 0);
	records.put('gone', first, 1000, 0);
	assert.deepEqual(records.ofService('chat', 2000), [
		{key: 'a', origin: first, remainingMilliseconds: 3000},
		{key: 'c', origin: second, remainingMilliseconds: 7000},
	]);
});
