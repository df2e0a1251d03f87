import assert from 'node:assert/strict';
import {test} from 'node:test';
import {testConfiguration, testRoute} from '../testing/test-configuration.js';
import {testEndpoint} from '../testing/test-endpoint.js';
import {configuredEndpoints} from './configured-endpoints.js';

const [desk, target, agent] = ['desk', 'target', 'agent'].map(service => testEndpoint({name: service, service}));
const listed = [desk!, target!, agent!];

test('endpoints of services that are declared or that a route leads to are returned', () => {
	const configuration = testConfiguration({routes: [testRoute({targets: [{service: 'target', weight: 0}]})]});
	assert.deepEqual(configuredEndpoints(configuration, listed), [desk, target]);
});

test('before the first configuration all endpoints are returned', () => {
	assert.deepEqual(configuredEndpoints(undefined, listed), listed);
});
