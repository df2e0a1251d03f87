import assert from 'node:assert/strict';
import {test} from 'node:test';
import {DecisionLog} from './decision-log.js';

test('ten thousand refusals make a bounded number of lines, and each of them is written or counted', () => {
	// A service is down and every request is refused. Logging must not cost more than the refusals themselves.
	const lines: string[] = [];
	let now = 0;
	const output = {
		writableLength: 0, write(line: string) {
			lines.push(line);
			return true;
		},
	};
	const log = new DecisionLog(output, {instance: 'e1'}, () => now);
	for (let count = 0; count < 10_000; count++) {
		now = Math.floor(count / 5000) * 1000;
		log.record('request-refused', {id: String(count)});
	}

	now = 5000;
	log.record('request-refused', {id: 'last'});
	const written = lines.map(line => JSON.parse(line) as {leftOut?: number});
	assert.equal(lines.length, 101);
	assert.equal(written.reduce((sum, {leftOut = 0}) => sum + leftOut, 0) + lines.length, 10_001);
});

test('lines of ordinary requests use only their share of the bytes, and a failure among them is written', () => {
	// A busy instance completes 45 requests a second. A collector retains only its newest lines, which must include the line
	// of the one request a second that failed.
	const lines: string[] = [];
	let now = 0;
	const output = {writableLength: 0, write: (line: string) => lines.push(line) > 0};
	const log = new DecisionLog(output, {instance: 'e1'}, () => now);
	for (; now < 60_000; now += 1000) {
		for (let count = 0; count < 45; count++) {
			log.record('request-served', {id: '0123456789abcdef', endpoint: 'endpoint-of-some-service', milliseconds: count});
		}

		log.record('request-ended', {id: 'failed', detail: 'x'.repeat(300)});
	}

	const bytes = lines.reduce((sum, line) => sum + line.length, 0);
	now += 10_000;
	log.record('request-served', {id: 'last'});

	const written = lines.map(line => JSON.parse(line) as {kind: string; instance?: string; leftOut?: number});
	const served = written.filter(({kind}) => kind === 'request-served');
	assert.equal(written.filter(({kind}) => kind === 'request-ended').length, 60);
	assert.equal(served.reduce((sum, {leftOut = 0}) => sum + leftOut + 1, 0), (45 * 60) + 1);
	assert.ok(bytes < 32_768 + (60 * 3072));
	assert.ok(served.every(({instance}) => instance === undefined));
});

test('a stream that is aborted among many refusals has its line', () => {
	// All endpoints are full: they reject 200 requests a second, which are then refused. One stream a second is aborted, after
	// the refusals of that second.
	const lines: string[] = [];
	let now = 0;
	const output = {writableLength: 0, write: (line: string) => lines.push(line) > 0};
	const log = new DecisionLog(output, {instance: 'e1'}, () => now);
	for (; now < 60_000; now += 1000) {
		for (let count = 0; count < 200; count++) {
			log.record('try-failed', {id: '0123456789abcdef', outcome: 'rejected', detail: 'x'.repeat(150)});
			log.record('request-ended', {id: '0123456789abcdef', outcome: 'refused', detail: 'x'.repeat(150)});
		}

		log.record('try-failed', {id: 'broken', outcome: 'cut'});
		log.record('request-ended', {id: 'broken', outcome: 'broken-off', detail: 'x'.repeat(300)});
	}

	const written = lines.map(line => JSON.parse(line) as {id: string; kind: string});
	const broken = written.filter(({id}) => id === 'broken');
	assert.deepEqual([broken.length, broken.filter(({kind}) => kind === 'try-failed').length], [120, 60]);
});

test('a reader that does not read makes lines be dropped, not memory grow', () => {
	const output = {
		writableLength: 1_000_000, write(): boolean {
			throw new Error('must not be called');
		},
	};
	const log = new DecisionLog(output, {}, () => 0);
	log.record('started');
});
