import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {openSocket, rawRequest} from '../../test/raw-http.js';
import {TestEntry, testOperatorKey} from '../../test/test-entry.js';

test('an operator request that is cut off within its body leaves no stack among the lines of the log', async t => {
	// Guards against lines that no reader of the structured log can parse.
	const printed = t.mock.method(console, 'error', () => {
		// Only the number of calls matters.
	});
	const entry = new TestEntry();
	await entry.start();
	t.after(async () => entry.stop());
	const socket = await openSocket(entry.operatorsAddress);
	const bytes = rawRequest({
		method: 'POST', path: '/operator/ask', headers: {authorization: `Bearer ${testOperatorKey}`}, body: '{"statement": "show limits"}',
	});
	socket.write(bytes.slice(0, -10));
	await pause(100);
	socket.resetAndDestroy();
	await pause(200);
	assert.equal(printed.mock.callCount(), 0);
});
