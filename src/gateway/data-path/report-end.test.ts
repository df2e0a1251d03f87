import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Route} from '../../shared/routed-configuration.js';
import {testRoute} from '../testing/test-configuration.js';
import {endLine, type EndFacts, type EndLine} from './report-end.js';

const basis = {
	keptTokens: 131, fetchTokens: 1004, readTokens: 184, occupancy: 17, unreadBefore: undefined, costMilliseconds: 122.6,
};

/** The line of a request that arrived at 1000 ms and ended at 1200 ms, ordinary unless told otherwise. */
function lineOf(changes: {route?: Partial<Route>; facts?: Partial<EndFacts>}): EndLine {
	return endLine({
		head: {attemptId: 'a1'},
		permitted: {route: testRoute(changes.route), service: 'desk', configurationVersion: 7},
		arrivedAt: {steady: 1000, wall: 0},
	}, {
		end: 'whole', status: 200, endpoints: ['desk-1'], sends: 1, mayHaveRun: true, placedBy: basis, firstByteAt: 1100, ...changes.facts,
	}, 1200);
}

test('an ordinary end has a short line with what decided it', () => {
	assert.deepEqual(lineOf({}), {
		kind: 'request-served',
		fields: {
			id: 'a1', service: 'desk', endpoint: 'desk-1', placedBy: [17, 123], version: 7, milliseconds: 200,
		},
	});
});

test('the line of a prompt lists the tokens that its endpoint was chosen by; what is not known is null', () => {
	assert.deepEqual(lineOf({route: {carriesPrompt: true}}).fields.placedBy, [17, 123, 131, 1004, 184, null]);
});

test('a stream is in time by its first byte, any other answer by its end', () => {
	const objectiveMilliseconds = 150;
	assert.equal(lineOf({route: {kind: 'stream', objectiveMilliseconds}}).kind, 'request-served');
	const late = lineOf({route: {objectiveMilliseconds}});
	assert.deepEqual([late.kind, late.fields.objectiveMilliseconds, late.fields.milliseconds], ['request-ended', 150, 200]);
});

const extraordinary: Record<string, Partial<EndFacts>> = {
	refused: {
		end: 'refused', status: 503, endpoints: [], sends: 0,
	},
	'broken off': {end: 'broken-off'},
	repeated: {sends: 2, endpoints: ['desk-1', 'desk-2']},
	'sent on behind an endpoint that was out of reach': {endpoints: ['desk-1', 'desk-2']},
	'answered with a failure': {status: 500},
	'ended by nothing but its connection': {
		transfer: {
			connection: 'new', framing: 'connection', bodyBytes: 812, bodyEnd: 'in-order',
		},
	},
};
for (const [name, facts] of Object.entries(extraordinary)) {
	test(`a request that was ${name} has a full line`, () => {
		const {kind, fields} = lineOf({facts});
		assert.equal(kind, 'request-ended');
		assert.deepEqual([fields.id, fields.route, fields.configurationVersion], ['a1', 'route', 7]);
		assert.deepEqual(fields.placedBy, {
			keptTokens: 131, fetchTokens: 1004, readTokens: 184, occupancy: 17, unreadBefore: null, costMilliseconds: 123,
		});
		assert.deepEqual(fields.transfer, facts.transfer);
	});
}
