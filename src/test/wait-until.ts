import assert from 'node:assert/strict';
import {setTimeout as delay} from 'node:timers/promises';

const stepMilliseconds = 10;
const limitMilliseconds = 10_000;

/** Waits until a condition holds; fails the test after 10 s. */
export async function waitUntil(holds: () => boolean): Promise<void> {
	const end = Date.now() + limitMilliseconds;
	while (!holds()) {
		assert.ok(Date.now() < end, 'timed out while waiting for a condition');
		await delay(stepMilliseconds);
	}
}
