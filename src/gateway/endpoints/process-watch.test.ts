import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type ObservedProcess, ProcessWatch} from './process-watch.js';

const isProven = (): boolean => true;
const isNotProven = (): boolean => false;

/** What the watch observes; `undefined` while it has no doubt. */
function observedBy(watch: ProcessWatch, now: number): ObservedProcess | undefined {
	let observed: ObservedProcess | undefined;
	watch.isCertain(process => {
		observed = process;
		return false;
	}, now);
	return observed;
}

/** The watch of a process that started at 100 and whose connection has ended at 3,000. */
function watchOfClosed(): ProcessWatch {
	const watch = new ProcessWatch();
	watch.noteOpened(1000);
	watch.noteClosed(3000, 100, isNotProven);
	return watch;
}

test('a process is taken to be that of its row until its connection has ended', () => {
	const watch = new ProcessWatch();
	assert.equal(watch.isCertain(isNotProven, 900), true);
	watch.noteOpened(1000);
	assert.equal(watch.isCertain(isNotProven, 2000), true);
	watch.noteClosed(3000, 100, isNotProven);
	assert.equal(watch.isCertain(isProven, 3010), false);
});

test('a process that closes an idle connection and accepts the next one at once is the same', () => {
	const watch = watchOfClosed();
	assert.equal(watch.isDue(3000), true);
	watch.noteOpened(3005);
	assert.equal(watch.isCertain(isProven, 3100), false);
	assert.equal(watch.isCertain(isNotProven, 3155), true);
});

test('a process that ends and accepts one more connection before is not the same', () => {
	// Guards against a listener that is closed a moment later than the connections of its process.
	const watch = watchOfClosed();
	watch.noteOpened(3005);
	watch.noteClosed(3010, 100, isNotProven);
	watch.noteOpened(3050);
	assert.equal(watch.isCertain(isNotProven, 3300), false);
	assert.deepEqual(observedBy(watch, 3300), {since: 3050, successorOf: 100});
});

test('a process that was proven to be that of its row stays so', () => {
	const watch = watchOfClosed();
	watch.noteOpened(3200);
	assert.equal(watch.isCertain(isNotProven, 3400), false);
	assert.equal(watch.isCertain(isProven, 3400), true);
	assert.equal(watch.isCertain(isNotProven, 3400), true);
});

test('a process that listens after refused connections is the next one after the process that ended', () => {
	const watch = watchOfClosed();
	watch.noteNotConnected('refused', 3001, 3002);
	watch.noteNotConnected('refused', 3300, 3301);
	watch.noteOpened(3600);
	assert.deepEqual(observedBy(watch, 3600), {since: 3600, successorOf: 100});
});

test('a process that accepts a connection after a refused one is not the same, however soon', () => {
	const watch = watchOfClosed();
	watch.noteNotConnected('refused', 3001, 3002);
	watch.noteOpened(3050);
	assert.equal(watch.isCertain(isNotProven, 4000), false);
});

test('a process is not the next one where another may have been there unnoticed', () => {
	// Guards against a process taken for the one that wrote a row and ended between two attempts.
	const late = watchOfClosed();
	late.noteNotConnected('refused', 3001, 3002);
	late.noteOpened(3500);
	assert.deepEqual(observedBy(late, 3500), {since: 3500, successorOf: undefined});
	const silent = watchOfClosed();
	silent.noteNotConnected('silent', 3001, 3251);
	silent.noteOpened(3300);
	assert.deepEqual(observedBy(silent, 3300), {since: 3300, successorOf: undefined});
});

test('a process that follows one that was not proven to be that of a row is not the next one after that row', () => {
	// Guards against a second restart before the first one's row.
	const watch = watchOfClosed();
	watch.noteOpened(3200);
	watch.noteClosed(3400, 100, isNotProven);
	watch.noteOpened(3600);
	assert.deepEqual(observedBy(watch, 3600), {since: 3600, successorOf: undefined});
});

test('a process that could not be reached is not certain to be the same when it accepts connections again', () => {
	// Guards against a host that is lost without an end of its connections, and is back with another process.
	const watch = new ProcessWatch();
	watch.noteOpened(1000);
	watch.noteLost();
	watch.noteClosed(3000, 100, isNotProven);
	watch.noteOpened(3010);
	assert.equal(watch.isCertain(isNotProven, 4000), false);
	assert.deepEqual(observedBy(watch, 4000), {since: 3010, successorOf: undefined});
	for (const at of [4000, 4500, 5000]) {
		watch.noteLost();
		watch.noteClosed(at, 100, isNotProven);
		watch.noteOpened(at + 5);
	}

	assert.equal(watch.isCertain(isNotProven, 6000), false);
});

test('an endpoint that closes each connection soon is not watched, and tried again later', () => {
	// Guards against streams that never go on at an endpoint that has no room for the connection.
	const watch = new ProcessWatch();
	for (const at of [1000, 1010, 1020]) {
		watch.noteOpened(at);
		watch.noteClosed(at + 5, 100, isNotProven);
	}

	assert.equal(watch.isCertain(isNotProven, 1030), true);
	assert.equal(watch.isDue(2000), false);
	assert.equal(watch.isDue(11_025), true);
});
