import assert from 'node:assert/strict';
import {setTimeout as delay} from 'node:timers/promises';
import {test} from 'node:test';
import {connectionEndings} from '../test/ending-server.js';
import {openSocket} from '../test/raw-http.js';
import {HttpListener} from './http-listener.js';
import {readBody} from './read-body.js';

const head = 'POST /bookings HTTP/1.1\r\nhost: entry\r\n';
const halves = {
	'a length': `${head}content-length: 40\r\n\r\n{"booking": 1}`,
	'chunks, after a complete one': `${head}transfer-encoding: chunked\r\n\r\ne\r\n{"booking": 1}\r\n`,
	'chunks, within one': `${head}transfer-encoding: chunked\r\n\r\n28\r\n{"booking": 1}`,
	'chunks, before the empty line after the last': `${head}transfer-encoding: chunked\r\n\r\ne\r\n{"booking": 1}\r\n0\r\n`,
};

test('half of a request\'s body is never taken for the whole, however its caller disconnects', async t => {
	// Guards against a booking for a caller that disconnected within its request, where the half that arrived is valid JSON.
	// The caller's connection is reset or closed right after the half; the body must be refused each time.
	const ends: string[] = [];
	const listener = new HttpListener('front', async (request, response) => {
		const body = await readBody(request, 1000);
		ends.push(body.caseOf({Left: ({message}) => message, Right: bytes => `whole: ${String(bytes)}`}));
		response.end();
	}, '127.0.0.1:0');
	const address = await listener.listen();
	for (const bytes of Object.values(halves)) {
		for (const ending of connectionEndings) {
			const before = ends.length;
			for (let count = 0; count < 50; count++) {
				const socket = await openSocket(address);
				await new Promise<void>(resolve => {
					socket.write(bytes, () => {
						resolve();
					});
				});
				if (ending === 'closed') {
					socket.end();
				} else {
					await (ending === 'reset-later' ? delay(3) : undefined);
					socket.resetAndDestroy();
				}
			}

			// A reset may overtake the request's head; then there is no request and no refusal.
			while (ends.length < before + (ending === 'closed' ? 50 : 1)) {
				await delay(1);
			}
		}
	}

	await listener.drain();
	t.diagnostic(`${ends.length} requests were seen`);
	assert.deepEqual(new Set(ends), new Set(['the body was cut off']));
});
