import assert from 'node:assert/strict';
import {test} from 'node:test';
import {runRequestsBesideChanges, violationsOf} from '../check/configuration-changes-over-processes.js';

/** Of all requests; the others have no key or route, or meet an endpoint or instance that ends. */
const minWholeShare = 0.25;

test('over real processes: no request ends without an answer beside changes of the configuration and other disturbances', async () => {
	const report = await runRequestsBesideChanges({
		seed: 1,
		network: 103,
		milliseconds: 6000,
		changeMilliseconds: 200,
		keptCallers: 30,
		newConnectionsPerSecond: 15,
		disturbances: ['crashing-block', 'one-instance', 'half-closes', 'silence', 'hangups', 'terminations', 'short-of-processor'],
	});
	assert.deepEqual(violationsOf(report), {}, JSON.stringify(report));
	assert.ok(report.whole >= minWholeShare * report.sent, JSON.stringify(report));
});
