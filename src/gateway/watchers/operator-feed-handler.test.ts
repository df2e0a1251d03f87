import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Right} from 'purify-ts/Either';
import {type Moment} from '../../ports/moment-clock.js';
import {type FeedRow} from '../../ports/table-feed.js';
import {Evacuations} from '../endpoints/evacuations.js';
import {DecisionLog} from '../observability/decision-log.js';
import {GatewayMetrics} from '../observability/gateway-metrics.js';
import {ConfigurationView} from '../configuration/configuration-view.js';
import {testConfiguration} from '../testing/test-configuration.js';
import {WeightTargets} from '../weights/weight-targets.js';
import {type StoreSchema} from './store-schema.js';
import {OperatorFeedHandler} from './operator-feed-handler.js';

const boundMilliseconds = 6000;
const at = (milliseconds: number): Moment => ({steady: milliseconds, wall: milliseconds});
const rowOf = (version: number): FeedRow => ({
	key: `weights-${version}`, content: version, isDeleted: false, revision: version,
});

function evacuationsOf(): Evacuations {
	return new Evacuations({log: {record: () => undefined}, metrics: new GatewayMetrics()});
}

/** A handler, and the milliseconds left for switching to the named weights at a time. */
function handlerOfWeights() {
	const targets = new WeightTargets(boundMilliseconds);
	const schema: StoreSchema = {
		operatorTable: 'operators',
		endpointTable: 'endpoints',
		readOperatorRow: (_key, content) => Right({kind: 'weights', weights: {model: 'lease', version: content as number}}),
		readEndpointRow() {
			throw new Error('not read here');
		},
	};
	const log = new DecisionLog({writableLength: 0, write: () => true}, {}, Date.now);
	const reader = new OperatorFeedHandler({
		configuration: new ConfigurationView({freshMilliseconds: 1000, leaseMilliseconds: 1000}), evacuations: evacuationsOf(), log, metrics: new GatewayMetrics(),
	}, schema, targets);
	return {reader, leftAt: (now: Moment): number => targets.remainingMilliseconds(targets.targetFor('lease')!, now)};
}

test('weights that arrive while the feed is followed count as named on arrival', () => {
	const {reader, leftAt} = handlerOfWeights();
	reader.handleSnapshot([], at(0), at(5), 'live');
	reader.handleChanges([rowOf(2)], at(5), at(1800), 'live');
	assert.equal(leftAt(at(1800)), boundMilliseconds);
	assert.equal(leftAt(at(4800)), 3000);
});

test('weights that a process finds when it starts may have been named at any time', () => {
	// An instance restarts seconds after weights were named. If it counted from its own read, it would send requests to engines
	// with the old weights long after the time granted for them.
	const {reader, leftAt} = handlerOfWeights();
	reader.handleSnapshot([rowOf(2)], at(0), at(5), 'live');
	assert.equal(leftAt(at(5)), 0);
});

test('weights that arrive after failed calls may have been named at any time since the last answered call', () => {
	// The store refused the instance's calls for four seconds, and weights were named meanwhile.
	const {reader, leftAt} = handlerOfWeights();
	reader.handleSnapshot([], at(0), at(5), 'live');
	reader.handleChanges([], at(1000), at(3000), 'live');
	reader.handleFailure();
	reader.handleChanges([rowOf(2)], at(7000), at(7010), 'live');
	assert.equal(leftAt(at(7010)), boundMilliseconds - 6010);
});

test('relayed weights may have been named at any time since the last confirmation', () => {
	// Guards against older weights that are served for longer than granted: a relayed update takes a while to arrive.
	const {reader, leftAt} = handlerOfWeights();
	reader.handleSnapshot([], at(0), at(5), 'live');
	reader.handleChanges([], at(900), at(1000), 'relayed');
	reader.handleChanges([rowOf(2)], at(1400), at(1800), 'relayed');
	assert.equal(leftAt(at(1800)), boundMilliseconds - 900);
});

test('a store that was just restored from an older copy does not renew the lease on the configuration', () => {
	// Guards against a revoked key that is still accepted: the configuration that revoked it has not been rewritten yet.
	const configuration = new ConfigurationView({freshMilliseconds: 1000, leaseMilliseconds: 2000});
	configuration.offer(testConfiguration({version: 7}));
	const reader = new OperatorFeedHandler({
		configuration, evacuations: evacuationsOf(), log: new DecisionLog({writableLength: 0, write: () => true}, {}, Date.now), metrics: new GatewayMetrics(),
	}, {
		operatorTable: 'operators',
		endpointTable: 'endpoints',
		readOperatorRow: (_key, content) => Right({kind: 'configuration', configuration: testConfiguration({version: content as number})}),
		readEndpointRow() {
			throw new Error('not read here');
		},
	}, new WeightTargets(boundMilliseconds));
	reader.handleChanges([], at(1000), at(1000), 'live');
	reader.handleSnapshot([rowOf(6)], at(2500), at(2500), 'restored');
	assert.equal(configuration.current?.version, 7);
	assert.equal(configuration.validityAt(at(2900)), 'ageing');
	reader.handleChanges([], at(4000), at(4000), 'live');
	assert.equal(configuration.validityAt(at(4100)), 'fresh');
});

/** A handler of rows that name the data centre to evacuate. */
function handlerOfEvacuations() {
	const evacuations = evacuationsOf();
	const log = new DecisionLog({writableLength: 0, write: () => true}, {}, Date.now);
	const reader = new OperatorFeedHandler({
		configuration: new ConfigurationView({freshMilliseconds: 1000, leaseMilliseconds: 1000}), evacuations, log, metrics: new GatewayMetrics(),
	}, {
		operatorTable: 'operators',
		endpointTable: 'endpoints',
		readOperatorRow: (_key, content) => Right({kind: 'evacuation', dataCentre: content as string}),
		readEndpointRow() {
			throw new Error('not read here');
		},
	}, new WeightTargets(boundMilliseconds));
	const row = (key: string, dataCentre?: string): FeedRow => ({
		key, content: dataCentre, isDeleted: dataCentre === undefined, revision: 1,
	});
	return {reader, evacuations, row};
}

test('a data centre is evacuated from the arrival of its row until the row is removed', () => {
	const {reader, evacuations, row} = handlerOfEvacuations();
	reader.handleChanges([row('one', 'split'), row('other', 'zadar')], at(0), at(5), 'relayed');
	assert.ok(evacuations.isEvacuated('split') && evacuations.isEvacuated('zadar'));
	reader.handleChanges([row('one')], at(1000), at(1005), 'live');
	assert.ok(!evacuations.isEvacuated('split') && evacuations.isEvacuated('zadar'));
});

test('an evacuation that was taken back while the store was away ends with the next whole reading of the table', () => {
	const {reader, evacuations, row} = handlerOfEvacuations();
	reader.handleChanges([row('one', 'split')], at(0), at(5), 'live');
	reader.handleFailure();
	assert.ok(evacuations.isEvacuated('split'));
	reader.handleSnapshot([row('other', 'zadar')], at(9000), at(9005), 'live');
	assert.ok(!evacuations.isEvacuated('split') && evacuations.isEvacuated('zadar'));
});

test('a store that was just restored from an older copy ends no evacuation', () => {
	const {reader, evacuations, row} = handlerOfEvacuations();
	reader.handleChanges([row('one', 'split')], at(0), at(5), 'live');
	reader.handleSnapshot([], at(1000), at(1005), 'restored');
	assert.ok(evacuations.isEvacuated('split'));
});
