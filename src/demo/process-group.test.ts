import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ProcessGroup, ProcessStartError} from './process-group.js';

test('a process that is not ready yet ends with its group', async () => {
	// Guards against a process that outlives a failed start of its group and keeps the process that started it from ending.
	const group = new ProcessGroup();
	const starting = assert.rejects(group.start('stand-in/main.js', {arguments: ['object']}), ProcessStartError);
	await group.stop();
	await starting;
	await assert.rejects(group.start('stand-in/main.js', {arguments: ['object']}), ProcessStartError);
});
