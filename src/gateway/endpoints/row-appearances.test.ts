import assert from 'node:assert/strict';
import {test} from 'node:test';
import {testEndpoint} from '../testing/test-endpoint.js';
import {RowAppearances} from './row-appearances.js';

const former = testEndpoint({startedAt: 100, softwareVersion: 'v1'});
const present = testEndpoint({startedAt: 200, softwareVersion: 'v2'});

/** The row of the second incarnation appeared after the list had been confirmed as of 5,000. */
function replacedRow(): RowAppearances {
	const appearances = new RowAppearances();
	appearances.note(former, undefined);
	appearances.confirm(5000);
	appearances.note(present, former);
	return appearances;
}

test('a process that was there when its row was written is that of the row', () => {
	assert.equal(replacedRow().isProcessOf(present, {since: 4000, successorOf: undefined}), true);
});

test('a process that may have come after the row was written is not proven to be that of the row', () => {
	// Guards against a process that ended just after it had written its row, and is back at another version.
	assert.equal(replacedRow().isProcessOf(present, {since: 5100, successorOf: undefined}), false);
});

test('the next process after that of the former row is that of the row, and no later one', () => {
	assert.equal(replacedRow().isProcessOf(present, {since: 5100, successorOf: 100}), true);
	assert.equal(replacedRow().isProcessOf(present, {since: 5100, successorOf: 200}), false);
	assert.equal(replacedRow().isProcessOf(present, {since: 5100, successorOf: 50}), false);
});

test('a process whose row has not changed for long is that of the row', () => {
	const appearances = replacedRow();
	appearances.confirm(7000);
	assert.equal(appearances.isProcessOf(present, {since: 5100, successorOf: undefined}), false);
	appearances.confirm(7100);
	assert.equal(appearances.isProcessOf(present, {since: 5100, successorOf: undefined}), true);
});

test('a process is not that of a row that was replaced', () => {
	// Guards against streams recorded at the version of a row that is older than the process.
	const appearances = replacedRow();
	appearances.confirm(60_000);
	assert.equal(appearances.isProcessOf(former, {since: 4000, successorOf: undefined}), false);
});

test('a row that is older than the one before proves nothing when it appears', () => {
	// Guards against rows of a store that came back from a copy.
	const appearances = replacedRow();
	appearances.confirm(6000);
	appearances.note(former, present);
	assert.equal(appearances.isProcessOf(former, {since: 4000, successorOf: 200}), false);
});

test('nothing is known of a row that is gone', () => {
	const appearances = replacedRow();
	appearances.forget(present.name);
	assert.equal(appearances.isProcessOf(present, {since: 4000, successorOf: undefined}), false);
});
