import assert from 'node:assert/strict';
import {type AddressInfo} from 'node:net';
import {createServer} from 'node:http';
import {once} from 'node:events';
import {test} from 'node:test';
import {HttpModelEngine} from './http-model-engine.js';
import {HttpWeightStore} from './http-weight-store.js';

/** Starts a server that rejects every request with this `Retry-After`. */
async function startRejecting(context: {after(callback: () => void): void}, retryAfter: string): Promise<string> {
	const server = createServer((_, response) => {
		response.writeHead(429, {'retry-after': retryAfter});
		response.end();
	}).listen(0, '127.0.0.1');
	context.after(() => {
		server.closeAllConnections();
		server.close();
	});
	await once(server, 'listening');
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function rejectionsBy(address: string): Promise<unknown[]> {
	const events = new HttpModelEngine().complete(address, {
		requestId: 'r', attempt: 1, shape: 'text', body: {model: 'permit-1', prompt: 'hello', max_tokens: 8}, cacheSalt: 's', priority: 'normal', weightVersion: 'w1', tokensPassedOn: 0,
	}, AbortSignal.timeout(2000));
	const failures: unknown[] = [];
	for await (const event of events) {
		failures.push(event.extract());
	}

	return failures;
}

test('a Retry-After that is a date becomes a time from now on', async context => {
	const address = await startRejecting(context, new Date(Date.now() + 60_000).toUTCString());
	const rejections = await rejectionsBy(address);
	const load = await new HttpWeightStore(address).load();
	assert.equal(rejections.length, 1);
	for (const failure of [...rejections, load.extract()]) {
		const {retryAfterMilliseconds = 0} = failure as {retryAfterMilliseconds?: number};
		assert.ok(retryAfterMilliseconds > 55_000 && retryAfterMilliseconds <= 60_000, `${retryAfterMilliseconds} ms`);
	}
});

test('a Retry-After that names no time is left out', async context => {
	const address = await startRejecting(context, 'soon');
	assert.deepEqual(await rejectionsBy(address), [{kind: 'refused', status: 429, detail: ''}]);
});
