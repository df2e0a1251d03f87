import assert from 'node:assert/strict';
import {test} from 'node:test';
import {longestStreamMilliseconds} from '../endpoints/version-history.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {longestStreamOf} from './longest-stream.js';

test('a stream lasts no longer than the longest timeout of the routes to its service that allow to take it up', () => {
	const configuration = testConfiguration({
		routes: [
			testRoute({kind: 'resumable-stream', timeoutMilliseconds: 3000}),
			testRoute({kind: 'resumable-stream', timeoutMilliseconds: 12_000, targets: [{service: 'other', weight: 9}, {service: 'desk', weight: 1}]}),
			testRoute({kind: 'stream', timeoutMilliseconds: 15_000}),
			testRoute({kind: 'resumable-stream', timeoutMilliseconds: 20_000, targets: [{service: 'other', weight: 1}]}),
		],
	});
	assert.equal(longestStreamOf(configuration, 'desk'), 13_000);
	assert.equal(longestStreamOf(configuration, 'other'), 21_000);
});

test('without a route that tells, a stream may last as long as versions are remembered', () => {
	assert.equal(longestStreamOf(undefined, 'desk'), longestStreamMilliseconds);
	assert.equal(longestStreamOf(testConfiguration(), 'desk'), longestStreamMilliseconds);
	const endless = testConfiguration({routes: [testRoute({kind: 'resumable-stream', timeoutMilliseconds: 1e9})]});
	assert.equal(longestStreamOf(endless, 'desk'), longestStreamMilliseconds);
});
