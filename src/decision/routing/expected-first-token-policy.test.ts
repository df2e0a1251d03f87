import assert from 'node:assert/strict';
import {test} from 'node:test';
import {CachedPrefixes} from '../cache/cached-prefixes.js';
import {ExpectedFirstTokenPolicy} from './expected-first-token-policy.js';
import {LinkEstimate} from './link-estimate.js';
import {type EndpointView, type RouteRequest} from './routing-policy.js';

const blockTokens = 2048;
const prefix = Array.from({length: 8}, (_, index) => `piece-${index}`);
const idle = {
	model: 'permit-1',
	weightVersion: 'v1',
	state: 'live' as const,
	runningRequests: 0, waitingRequests: 0, waitingPrefillTokens: 0, prefillTokensPerSecond: 8000, decodeTokensPerSecond: 50, batchLimit: 16, kvTokensUsed: 0, kvTokensCapacity: 300_000,
};

function viewOf(name: string, load: Partial<typeof idle> = {}, heardAt = 1000): EndpointView {
	return {
		name, address: name, dataCentre: 'centre-0', service: 'permits', model: 'permit-1', weightVersion: 'v1', state: 'live', heardAt, load: {...idle, ...load, measuredAt: heardAt},
	};
}

function requestOf(requestId: string, change: Partial<RouteRequest> = {}): RouteRequest {
	return {
		requestId, workspace: 'quay', service: 'permits', weightVersion: 'v1', priority: 'urgent', promptTokens: (8 * blockTokens) + 100, pieceKeys: prefix, avoid: [], deadline: 1e9, ...change,
	};
}

function policyWith(prefixes: CachedPrefixes): ExpectedFirstTokenPolicy {
	return new ExpectedFirstTokenPolicy(prefixes, {dataCentre: 'centre-0', links: new Map([['store', new LinkEstimate(40)]]), blockTokens});
}

function endpointOf(policy: ExpectedFirstTokenPolicy, request: RouteRequest, views: readonly EndpointView[], now = 1000): string {
	const choice = policy.choose(request, views, now);
	return choice.kind === 'send' ? choice.endpoint.name : 'none';
}

test('a returning prompt goes where its prefix is cached, until the wait there is longer than a fetch', () => {
	const prefixes = new CachedPrefixes();
	prefixes.add('engine-1', prefix);
	prefixes.add('store', prefix);
	const policy = policyWith(prefixes);
	assert.equal(endpointOf(policy, requestOf('a'), [viewOf('engine-0'), viewOf('engine-1')]), 'engine-1');
	const busy = policy.choose(requestOf('b'), [viewOf('engine-0'), viewOf('engine-1', {waitingPrefillTokens: 40_000, runningRequests: 16, waitingRequests: 12})], 1000);
	assert.ok(busy.kind === 'send' && busy.endpoint.name === 'engine-0', 'a hot prefix is replicated');
	assert.deepEqual(busy.fetch, {store: 'store', pieceKeys: prefix});
});

test('the cheaper of fetch and recompute is chosen: with a congested link the prefix is recomputed', () => {
	const prefixes = new CachedPrefixes();
	prefixes.add('store', prefix);
	const policy = policyWith(prefixes);
	const before = policy.choose(requestOf('a'), [viewOf('engine-0')], 1000);
	assert.ok(before.kind === 'send' && before.fetch !== undefined);
	for (const requestId of ['b', 'c', 'd']) {
		policy.observe({
			kind: 'fetched', endpoint: 'engine-9', requestId, store: 'store', pieceKeys: ['other'], pieces: 1, afterMilliseconds: 3000, linkMilliseconds: 3000,
		}, 1000);
	}

	const after = policy.choose(requestOf('e'), [viewOf('engine-0')], 1001);
	assert.ok(after.kind === 'send' && after.fetch === undefined);
});

// Two hundred prompts arrive before the next load report, and all engines looked idle in the last one. An instance that
// does not count what it sent since sends them all to the same engine.
test('a stale report causes no herd, since what was sent after it counts', () => {
	const policy = policyWith(new CachedPrefixes());
	const views = ['engine-0', 'engine-1', 'engine-2', 'engine-3'].map(name => viewOf(name));
	const sent = new Map<string, number>();
	for (let index = 0; index < 200; index++) {
		const request = requestOf(`request-${index}`, {pieceKeys: [], promptTokens: 2000});
		const endpoint = endpointOf(policy, request, views);
		policy.observe({kind: 'sent', endpoint, request}, 1001);
		sent.set(endpoint, (sent.get(endpoint) ?? 0) + 1);
	}

	assert.ok(Math.max(...sent.values()) <= 60, `sent: ${[...sent.values()].join(', ')}`);
});

test('an endpoint that fails gets no requests for a time, unless every endpoint fails', () => {
	const policy = policyWith(new CachedPrefixes());
	const views = [viewOf('engine-0'), viewOf('engine-1')];
	const request = requestOf('a');
	policy.observe({kind: 'sent', endpoint: 'engine-0', request}, 1000);
	policy.observe({
		kind: 'ended', endpoint: 'engine-0', request, outcome: 'failed', cachedTokens: 0,
	}, 1000);
	for (let index = 0; index < 20; index++) {
		assert.equal(endpointOf(policy, requestOf(`b-${index}`, {pieceKeys: [`other-${index}`]}), views, 1500), 'engine-1');
	}

	assert.equal(endpointOf(policy, request, [viewOf('engine-0')], 1500), 'engine-0');
});

test('among many endpoints, one without recent reports or leaving is never chosen', () => {
	const policy = policyWith(new CachedPrefixes());
	const views = Array.from({length: 200}, (_, index) => ({...viewOf(`engine-${index}`), ...(index % 2 === 0 ? {state: 'leaving' as const} : {})}));
	for (let index = 0; index < 100; index++) {
		const endpoint = endpointOf(policy, requestOf(`request-${index}`, {pieceKeys: []}), views);
		assert.equal(Number(endpoint.split('-')[1]) % 2, 1);
	}

	assert.equal(endpointOf(policy, requestOf('late'), views, 60_000), 'none');
});
