import assert from 'node:assert/strict';
import {test} from 'node:test';
import {splitAddress} from './split-address.js';

test('an address is split into host and port', () => {
	assert.deepEqual(splitAddress('127.0.0.1:8080'), {host: '127.0.0.1', port: 8080});
	assert.deepEqual(splitAddress('[::1]:1'), {host: '::1', port: 1});
	assert.deepEqual(splitAddress('fd00::1:65535'), {host: 'fd00::1', port: 65_535});
});

test('a text that names no host or no port is not an address', () => {
	const noHost = ['', ':', ':80', '[]:80', 'localhost:80', '1.2.3:80', '[127.0.0.1:80'];
	const noPort = ['127.0.0.1', '127.0.0.1:', '127.0.0.1:0', '127.0.0.1:65536', '127.0.0.1:080', '127.0.0.1:8e1', '127.0.0.1: 80', '127.0.0.1:-1'];
	for (const text of [...noHost, ...noPort]) {
		assert.equal(splitAddress(text), undefined, text);
	}
});
