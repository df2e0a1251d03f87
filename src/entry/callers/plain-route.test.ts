import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {exchangeRaw} from '../../test/raw-http.js';
import {TestEntry, testKey} from '../../test/test-entry.js';

test('a complete answer is sent with its length, also to a caller without support for chunked encoding', async () => {
	// Guards against a truncated answer that an HTTP/1.0 caller accepts as complete: without a length, the end of the
	// connection marks the end of the answer, even if the entry's machine fails while the answer is being sent.
	const entry = new TestEntry();
	await entry.start();
	const authorization = `Bearer ${testKey}`;
	const booking = JSON.stringify({booking: 'pitch-4'});
	const requests = [
		`POST /services/bookings/bookings HTTP/1.0\r\nauthorization: ${authorization}\r\ncontent-length: ${booking.length}\r\n\r\n${booking}`,
		`GET /v1/models HTTP/1.0\r\nauthorization: ${authorization}\r\n\r\n`,
		`GET /v1/calls/bookings/key HTTP/1.0\r\nauthorization: ${authorization}\r\n\r\n`,
	];
	const answers: string[] = [];
	for (const request of requests) {
		answers.push(await exchangeRaw(entry.callersAddress, request));
	}

	await entry.callers.drain();
	await entry.operators.drain();
	for (const answer of answers) {
		const [head = '', body = ''] = answer.split('\r\n\r\n');
		assert.match(head, /^HTTP\/1\.1 20/v);
		assert.ok(head.toLowerCase().split('\r\n').includes(`content-length: ${Buffer.byteLength(body)}`), head);
	}
});
