import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type DecisionFields} from '../observability/decision-log.js';
import {logLateWrite} from './log-late-write.js';

test('a request is logged as written late after a long wait, after a lag, or without time left, and not otherwise', () => {
	const lines: DecisionFields[] = [];
	const log = {
		record(_kind: string, fields: DecisionFields = {}) {
			lines.push(fields);
		},
	};
	const inTime = {
		id: 'a1', endpoint: 'desk-1', connection: 'new' as const, leftMilliseconds: 0.1, openedMilliseconds: 199.9, lagMilliseconds: 199.9,
	};
	logLateWrite(log, inTime);
	logLateWrite(log, {...inTime, leftMilliseconds: 0});
	logLateWrite(log, {...inTime, openedMilliseconds: 200});
	logLateWrite(log, {...inTime, lagMilliseconds: 200.4});
	assert.deepEqual(lines, [[0, 200, 200], [0, 200, 200], [0, 200, 200]].map(([leftMilliseconds, openedMilliseconds, lagMilliseconds]) => ({
		id: 'a1', endpoint: 'desk-1', connection: 'new', leftMilliseconds, openedMilliseconds, lagMilliseconds,
	})));
});
