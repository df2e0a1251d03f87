import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	errorCodeOf, exchangeRaw, rawRequest, statusOf,
} from '../../test/raw-http.js';
import {type RoutedConfiguration} from '../../shared/routed-configuration.js';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {answerSealed, TestGateway} from '../testing/test-gateway.js';
import {PromptBlockSources} from './prompt-block-sources.js';
import {type RequestHead} from './request-head.js';
import {ownWireNames as names} from './wire-names.js';

const request = rawRequest({
	method: 'GET', path: '/', headers: {
		host: 'quay.example', [names.attemptId]: 'a1', [names.deadline]: '2000', [names.workspaceKey]: 'key', connection: 'close',
	},
});

type Context = {after(callback: () => Promise<void>): void};

/** A gateway in the region `dalmatia` before an endpoint there and one in the region `friuli`. */
async function startWithTwoRegions(context: Context, configuration: RoutedConfiguration) {
	const gateway = await new TestGateway(configuration).start();
	context.after(async () => gateway.close());
	const arrivals: Record<string, number> = {split: 0, trieste: 0};
	for (const dataCentre of Object.keys(arrivals)) {
		await gateway.addEndpoint((incoming, response) => {
			arrivals[dataCentre]!++;
			answerSealed(incoming, response);
		}, {dataCentre});
	}

	return {gateway, arrivals};
}

function configurationOf(route: string[] | undefined, workspace: string[] | undefined): RoutedConfiguration {
	return testConfiguration({
		routes: [testRoute({requiresKey: true, ...(route === undefined ? {} : {allowedRegions: route})})],
		grants: new Map([['key', {name: 'desk', isIsolated: false, ...(workspace === undefined ? {} : {allowedRegions: workspace})}]]),
	});
}

for (const [name, route, workspace, allowed] of [
	['route', ['friuli'], undefined, 'trieste'],
	['workspace', undefined, ['dalmatia'], 'split'],
	['route and workspace together', ['dalmatia', 'friuli'], ['friuli', 'veneto'], 'trieste'],
] as const) {
	test(`no request reaches an endpoint outside the regions that its ${name} allows`, async context => {
		const {gateway, arrivals} = await startWithTwoRegions(context, configurationOf(route?.slice(), workspace?.slice()));
		for (let count = 0; count < 10; count++) {
			assert.equal(statusOf(await exchangeRaw(gateway.address, request)), 200);
		}

		assert.deepEqual(arrivals, {split: 0, trieste: 0, [allowed]: 10});
	});
}

test('a request without an endpoint in an allowed region is refused at once as not run, with a reason of its own', async context => {
	const {gateway, arrivals} = await startWithTwoRegions(context, configurationOf(['dalmatia'], ['friuli']));
	const startedAt = performance.now();
	const refusal = await exchangeRaw(gateway.address, request);
	assert.ok(performance.now() - startedAt < 300, 'refused at once');
	assert.equal(statusOf(refusal), 503);
	assert.equal(errorCodeOf(refusal), 'region-not-allowed');
	assert.match(refusal, /"ran":"not-run"/v);
	assert.deepEqual(arrivals, {split: 0, trieste: 0});
});

test('blocks of a restricted prompt are neither saved to nor fetched from a store outside its regions', async context => {
	const store = {
		capacityTokens: 1000, linkMegabitsPerSecond: 1000, transferLatencyMilliseconds: 1, isManaged: true,
	};
	const {gateway} = await startWithTwoRegions(context, testConfiguration({
		services: new Map([
			['near', {name: 'near', connectionLimit: 0, store: {...store, address: '127.0.0.1:1', dataCentre: 'zadar'}}],
			['far', {name: 'far', connectionLimit: 0, store: {...store, address: '127.0.0.1:2', dataCentre: 'trieste'}}],
		]),
	}));
	const storesUnder = (allowedRegions: string[]): string[] => new PromptBlockSources(gateway.context, {} as RequestHead, {
		route: testRoute({allowedRegions}), service: 'desk', grant: undefined, rank: 1, configurationVersion: 1,
	}).stores.map(({name}) => name);
	assert.deepEqual(storesUnder([]), ['near', 'far']);
	assert.deepEqual(storesUnder(['dalmatia']), ['near']);
});
