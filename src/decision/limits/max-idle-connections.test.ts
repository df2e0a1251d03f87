import assert from 'node:assert/strict';
import {test} from 'node:test';
import {maxIdleConnections} from './max-idle-connections.js';

const address = '127.0.0.1:80';

/** The idle connections of all instances together at one endpoint. */
function idleOfAll(instances: number, connectionLimit: number): number {
	return Array.from({length: instances}, (_, number) => maxIdleConnections({
		connectionLimit, instances, instance: `instance-${number}`, address,
	})).reduce((sum, count) => sum + count, 0);
}

test('idle connections of all instances leave room at an endpoint for those of requests', () => {
	assert.equal(idleOfAll(4, 32), 16);
	assert.ok(idleOfAll(6, 8) < 8, String(idleOfAll(6, 8)));
	const many = idleOfAll(760, 64);
	assert.ok(many > 16 && many < 48, String(many));
});

test('connections are kept idle without a limit, and few of them while the number of instances is unknown', () => {
	assert.equal(maxIdleConnections({
		connectionLimit: 0, instances: 6, instance: 'one', address,
	}), Number.POSITIVE_INFINITY);
	assert.equal(maxIdleConnections({
		connectionLimit: 64, instances: 0, instance: 'one', address,
	}), 1);
});
