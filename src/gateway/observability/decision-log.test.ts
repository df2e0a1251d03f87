import assert from 'node:assert/strict';
import {test} from 'node:test';
import {DecisionLog} from './decision-log.js';

test('ten thousand refusals make a bounded number of lines, and none goes uncounted', () => {
	// A service is down and every caller is refused. The lines must not cost more than the refusals.
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
	const told = lines.map(line => JSON.parse(line) as {leftOut?: number});
	assert.equal(lines.length, 101);
	assert.equal(told.reduce((sum, {leftOut = 0}) => sum + leftOut, 0) + lines.length, 10_001);
});

test('a reader that does not read costs lines, not memory', () => {
	const output = {
		writableLength: 1_000_000, write(): boolean {
			throw new Error('must not be called');
		},
	};
	const log = new DecisionLog(output, {}, () => 0);
	log.record('started');
});
