import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {rawRequest} from '../../test/raw-http.js';
import {connectCallers, blockEventLoop} from '../../test/separate-callers.js';
import {TestEntry, testKey} from '../../test/test-entry.js';

const calls = 10;
const stallMilliseconds = 600;

const kinds: Record<string, {bytes(name: string): string; sentOf(entry: TestEntry): string[]}> = {
	prompt: {
		bytes: name => rawRequest({
			method: 'POST', path: '/v1/completions', headers: {authorization: `Bearer ${testKey}`}, body: JSON.stringify({model: 'permit-1', prompt: name, max_tokens: 2}),
		}),
		sentOf: entry => entry.engine.calls.map(({call}) => call.body.prompt as string),
	},
	'call to a plain service': {
		bytes: name => rawRequest({
			method: 'POST', path: `/services/bookings/lookups?${name}`, headers: {authorization: `Bearer ${testKey}`}, body: '{}',
		}),
		sentOf: entry => entry.plain.calls.map(({path}) => path.split('?')[1] ?? ''),
	},
};

for (const [kind, {bytes, sentOf}] of Object.entries(kinds)) {
	test(`a ${kind} whose caller disconnected before it was read is not sent to an endpoint`, async () => {
		// Guards against work for callers that disconnect while the event loop is blocked: the process reads the request before
		// the close of the connection that follows it.
		const entry = new TestEntry();
		await entry.start();
		const callers = await connectCallers(entry.callersAddress, Array.from({length: calls}, (_, index) => {
			const leaves = index % 2 === 0;
			return {bytes: bytes(`${leaves ? 'leaves' : 'stays'}-${index}`), leaves};
		}));
		await pause(100);
		callers.send();
		blockEventLoop(stallMilliseconds);
		await pause(500);
		await callers.stop();
		await entry.stop();
		const sent = sentOf(entry);
		assert.deepEqual(sent.filter(name => name.startsWith('leaves')), []);
		assert.equal(sent.length, calls / 2);
	});
}
