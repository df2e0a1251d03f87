import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {testEndpoint} from '../../gateway/testing/test-endpoint.js';
import {testPromptRequest} from '../testing/test-prompt-request.js';
import {CostPlacement} from './cost-placement.js';
import {type EndpointLoad, noLoad} from './endpoint-load.js';
import {type PlacementRequest} from './placement.js';

const engine = (name: string, version: number): EndpointRecord => testEndpoint({name, slots: 12, weightVersions: new Map([['lease', version]])});

const prompt = (changes: Partial<PlacementRequest> = {}): PlacementRequest => testPromptRequest({wantedVersion: 2, olderWeightsUntil: () => 6000, ...changes});

const placeOf = (policy: CostPlacement, request: PlacementRequest, engines: readonly EndpointRecord[], now: number): string => {
	const placement = policy.place(request, engines, now);
	return placement.kind === 'send' ? placement.endpoint.name : placement.reason;
};

test('no prompt is sent to older weights if it would start after the end of their grant', () => {
	// Operators name new weights, and the instance that orders the engines to load them hangs. Without the limit callers
	// would get answers on the old weights for all that time, though operators were promised that none starts on them
	// after six seconds.
	const policy = new CostPlacement('split');
	const engines = [engine('e0', 1), engine('e1', 1)];
	assert.match(placeOf(policy, prompt(), engines, 4000), /^e[01]$/v);
	assert.equal(placeOf(policy, prompt(), engines, 5000), 'no-endpoint');
	assert.equal(placeOf(policy, prompt(), [...engines, engine('e2', 2)], 5000), 'e2');
});

test('the wait at an engine counts, since a prompt starts only when the engine gets to it', () => {
	// Two seconds before the end of the grant an engine has three seconds of prefill ahead. A prompt that is sent
	// there now would start a second too late.
	const loads = new Map<string, EndpointLoad>([['e0', {...noLoad, requests: 10, pendingPrefillTokens: [0, 165_000, 0]}]]);
	const policy = new CostPlacement('split', name => loads.get(name) ?? noLoad);
	const urgent = prompt({objectiveMilliseconds: 60_000});
	assert.equal(placeOf(policy, urgent, [engine('e0', 1)], 0), 'e0');
	assert.equal(placeOf(policy, urgent, [engine('e0', 1)], 4000), 'overloaded');
	assert.equal(placeOf(policy, urgent, [engine('e0', 2)], 4000), 'e0');
});

test('weights of unknown age count as overdue, as in a process that has just started', () => {
	const policy = new CostPlacement('split');
	const request = prompt({olderWeightsUntil: () => 100});
	assert.equal(placeOf(policy, request, [engine('e0', 1)], 100), 'no-endpoint');
	assert.equal(placeOf(policy, request, [engine('e0', 1), engine('e1', 2)], 100), 'e1');
});
