import assert from 'node:assert/strict';
import {test} from 'node:test';
import {connectEndpoint} from './connect-endpoint.js';

test('a text that is no address fails as a host that does not answer', async () => {
	// Guards against a rejection in an examination that nothing awaits, which ended the process.
	for (const address of ['127.0.0.1', '127.0.0.1:65536', '127.0.0.1:port', '']) {
		assert.equal(await connectEndpoint(address), 'silent', address);
	}
});

test('an address at which nothing listens refuses', async () => {
	assert.equal(await connectEndpoint('127.0.0.1:1'), 'refused');
});
