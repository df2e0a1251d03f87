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
	'chunks behind a whole one': `${head}transfer-encoding: chunked\r\n\r\ne\r\n{"booking": 1}\r\n`,
	'chunks in the middle of one': `${head}transfer-encoding: chunked\r\n\r\n28\r\n{"booking": 1}`,
	'chunks before the empty line of the last': `${head}transfer-encoding: chunked\r\n\r\ne\r\n{"booking": 1}\r\n0\r\n`,
};

test('half of a request\'s body is never taken for the body, however its caller leaves', async t => {
	// A service books for a caller that left in the middle of its request: the half that came is valid JSON. The caller's
	// connection is reset or closed right behind the half; the body must end in a refusal each time.
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

			// A reset may overtake the request's head; then there is no request, and nothing to end.
			while (ends.length < before + (ending === 'closed' ? 50 : 1)) {
				await delay(1);
			}
		}
	}

	await listener.drain();
	t.diagnostic(`${ends.length} requests were seen`);
	assert.deepEqual(new Set(ends), new Set(['the body was cut off']));
});
