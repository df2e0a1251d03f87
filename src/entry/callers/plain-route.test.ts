import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {exchangeRaw} from '../../test/raw-http.js';
import {TestEntry, testKey} from '../../test/test-entry.js';

test('an answer that is known whole leaves with its length, also for a caller who knows no chunks', async () => {
	// A caller of HTTP/1.0 takes half of a booking's answer for all of it. The entry has the whole answer but sends it without
	// a length, so that the end of the connection ends it; the entry's machine goes down while it is on its way.
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
