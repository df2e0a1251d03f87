import assert from 'node:assert/strict';
import {setTimeout as delay} from 'node:timers/promises';
import {test} from 'node:test';
import {bodyGraceMilliseconds} from '../../decision/arrivals/arrival-due.js';
import {HeldMemory} from '../../serving/held-memory.js';
import {
	errorCodeOf, exchangeRaw, openSocket, rawRequest, readToEnd, statusOf,
} from '../../test/raw-http.js';
import {testKey, TestEntry} from '../../test/test-entry.js';
import {waitUntil} from '../../test/wait-until.js';

const authorization = `Bearer ${testKey}`;
const path = '/v1/chat/completions';

for (const [target, length] of [[path, 60_000], ['/services/bookings/bookings/pitch-4', 60_000]] as const) {
	test(`a body that stands still is refused when another caller needs its memory: ${target}`, async t => {
		// Guards against callers that fill the memory of an entry with bodies that do not end.
		const entry = new TestEntry();
		let displaced = 0;
		entry.context.memory = new HeldMemory({softBytes: 50_000, hardBytes: 100_000, bodyBytes: 75_000}, () => performance.now(), {
			onPaused() {
				// Only bodies are counted.
			},
			onEnded() {
				// Only bodies are counted.
			},
			onBodyRefused() {
				displaced++;
			},
		});
		await entry.start();
		t.after(async () => entry.stop());
		const still = await openSocket(entry.callersAddress);
		still.write(`${rawRequest({method: 'POST', path: target, headers: {authorization, 'content-length': String(length)}})}${'x'.repeat(45_000)}`);
		const refused = readToEnd(still);
		await waitUntil(() => entry.context.memory.bodyBytes > 45_000);
		await delay(bodyGraceMilliseconds + 100);
		const body = JSON.stringify({model: 'permit-1', messages: [{role: 'user', content: 'o'.repeat(20_000)}]});
		const answer = await exchangeRaw(entry.callersAddress, rawRequest({
			method: 'POST', path, headers: {authorization, connection: 'close'}, body,
		}));
		assert.equal(statusOf(answer), 200);
		assert.equal(statusOf(await refused), 503);
		assert.equal(errorCodeOf(await refused), 'memory-limit');
		assert.match(await refused, /"ran":"not-run"/v);
		assert.match(await refused, /retry-after: 1\r\n/v);
		assert.equal(displaced, 1);
		await waitUntil(() => entry.context.memory.bodyBytes === 0);
	});
}
