import assert from 'node:assert/strict';
import {test} from 'node:test';
import {CostPlacement} from '../../decision/placement/cost-placement.js';
import {systemMomentClock} from '../../adapters/system-moment-clock.js';
import {GatewayMetrics} from '../observability/gateway-metrics.js';
import {testEndpoint} from '../testing/test-endpoint.js';
import {EndpointPaths} from './endpoint-paths.js';
import {type ProbeResult} from './probe-connection.js';

test('a relayed endpoint is not taken for unreachable because no relay is at hand that could say', async () => {
	// Guards against an endpoint that gets no requests, as one without power, while only a peer is missing.
	const endpoint = testEndpoint({name: 'desk-1', address: '127.0.0.1:1'});
	let relayed: ProbeResult | undefined = 'accepted';
	const paths = new EndpointPaths({
		clock: systemMomentClock,
		placement: new CostPlacement('split'),
		endpoints: {all: () => [endpoint]},
		configuration: {current: undefined},
		relays: {probe: async () => relayed},
		log: {
			record() {
				// The lines are not under test.
			},
		},
		metrics: new GatewayMetrics(),
		probe: async () => 'silent',
	});
	paths.noteNotConnected(endpoint);
	await paths.settled([endpoint]);
	assert.ok(paths.isRelayed(endpoint));
	relayed = undefined;
	paths.noteRelayFailed(endpoint);
	await paths.settled([endpoint]);
	assert.equal(paths.isUnreachable(endpoint), false);
	assert.ok(paths.isRelayed(endpoint));
});
