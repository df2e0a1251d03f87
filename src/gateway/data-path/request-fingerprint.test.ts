import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {requestFingerprint, type IdentifiedRequest} from './request-fingerprint.js';

const request: IdentifiedRequest = {
	head: {method: 'POST', host: 'quay.example', target: '/a'}, permitted: {grant: {name: 'desk', isIsolated: false}}, body: Buffer.from('words'),
};

test('the fingerprint depends on path, caller and body, and on nothing else', () => {
	const own = requestFingerprint(request);
	assert.match(own, /^[\da-f]{16}$/v);
	assert.equal(requestFingerprint({...request, body: Buffer.from('words')}), own);
	const others: IdentifiedRequest[] = [
		{...request, head: {...request.head, target: '/b'}},
		{...request, head: {...request.head, host: 'pier.example'}},
		{...request, permitted: {grant: {name: 'pier', isIsolated: false}}},
		{...request, permitted: {grant: undefined}},
		{...request, body: Buffer.from('other words')},
	];
	assert.equal(new Set([own, ...others.map(other => requestFingerprint(other))]).size, 6);
});
