import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {DecisionLog, leftOutDelayMilliseconds, type DecisionKind} from './decision-log.js';

type LogLine = {kind: DecisionKind; leftOut?: number; counts?: Record<string, number>};

/** A log with a mocked clock and timer. */
function logWithMockedClock(context: TestContext): {log: DecisionLog; output: {writableLength: number}; lines: () => LogLine[]; pass: (milliseconds: number) => void} {
	context.mock.timers.enable({apis: ['setTimeout', 'Date']});
	const lines: string[] = [];
	const output = {writableLength: 0, write: (line: string) => lines.push(line) > 0};
	return {
		log: new DecisionLog(output, {instance: 'front-zone-1'}, Date.now),
		output,
		lines: () => lines.map(line => JSON.parse(line) as LogLine),
		pass(milliseconds) {
			context.mock.timers.tick(milliseconds);
		},
	};
}

function recordMany(log: DecisionLog, kind: DecisionKind, count: number): void {
	for (let index = 0; index < count; index++) {
		log.record(kind, {id: String(index)});
	}
}

test('the count of lines left out is reported within seconds, also if no further line of their kind follows', context => {
	// After many refusals the service is quiet. An engineer who counts the refusals by their lines finds the 50 that were
	// written: the number of the others would be part of the next refusal, which does not come.
	const {log, lines, pass} = logWithMockedClock(context);
	recordMany(log, 'request-refused', 70);
	recordMany(log, 'try-failed', 1);
	pass(leftOutDelayMilliseconds);
	assert.deepEqual(lines().at(-1)?.counts, {'request-refused refusal': 20});
	pass(10 * leftOutDelayMilliseconds);
	assert.equal(lines().filter(({kind}) => kind === 'left-out').length, 1);
});

test('when a process stops, the counts of lines left out are reported before its last line', context => {
	const {log, lines} = logWithMockedClock(context);
	recordMany(log, 'request-refused', 70);
	recordMany(log, 'request-served', 60);
	log.record('stopped');
	const [counted, stopped] = lines().slice(-2);
	assert.deepEqual(counted?.counts, {'request-refused refusal': 20, 'request-served ordinary': 10});
	assert.equal(stopped?.kind, 'stopped');
});

test('a process that has used up its byte budget still reports the lines left out when it stops', context => {
	const {log, lines} = logWithMockedClock(context);
	log.record('configuration-refused', {findings: ['x'.repeat(200_000)]});
	recordMany(log, 'request-refused', 3);
	log.record('stopped');
	assert.deepEqual(lines().map(({kind}) => kind), ['configuration-refused', 'left-out', 'stopped']);
});

test('a count that a line of its kind has reported is not reported again', context => {
	const {log, lines, pass} = logWithMockedClock(context);
	recordMany(log, 'request-refused', 70);
	pass(1000);
	recordMany(log, 'request-refused', 1);
	pass(leftOutDelayMilliseconds);
	assert.equal(lines().at(-1)?.leftOut, 20);
});

test('under a lasting flood of lines one line of counts is written per delay, and no count is lost or reported twice', context => {
	const {log, lines, pass} = logWithMockedClock(context);
	const seconds = 60;
	for (let second = 0; second < seconds; second++) {
		recordMany(log, 'request-refused', 1000);
		pass(1000);
	}

	pass(leftOutDelayMilliseconds);
	const written = lines();
	const counted = written.filter(({kind}) => kind === 'left-out');
	const left = written.reduce((sum, {leftOut = 0, counts = {}}) => sum + leftOut + (counts['request-refused refusal'] ?? 0), 0);
	assert.ok(counted.length <= (seconds * 1000 / leftOutDelayMilliseconds) + 1, `${counted.length}`);
	assert.equal(left + written.length - counted.length, seconds * 1000);
});

test('counts wait while the reader of the output is slow, and are reported when it reads again', context => {
	const {log, output, lines, pass} = logWithMockedClock(context);
	output.writableLength = 1_000_000;
	recordMany(log, 'request-refused', 7);
	pass(2 * leftOutDelayMilliseconds);
	assert.deepEqual(lines(), []);
	output.writableLength = 0;
	pass(leftOutDelayMilliseconds);
	assert.deepEqual(lines().map(({kind, counts}) => ({kind, counts})), [{kind: 'left-out', counts: {'request-refused refusal': 7}}]);
});
