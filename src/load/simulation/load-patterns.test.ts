/**
 * What callers see under combinations of load patterns and faults. Each run applies a pattern (a burst, one prefix with most
 * of the load, a slow endpoint, long requests among short ones, saturation) alone, with a second pattern, or with a fault
 * from 20 s to 40 s, against fifteen entries that share no state. The last request arrives before 50 s and the run ends
 * at 90 s: an urgent request that has neither an answer nor a refusal by then has been lost by its entry, which is the
 * failure that these tests guard against first.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {quantileOf} from '../measure/statistics.js';
import {type WorkloadRequest} from '../workload/generate-requests.js';
import {readWorkload} from '../workload/read-workload.js';
import {type Workload} from '../workload/workload-schema.js';
import {type Fault} from './fault.js';
import {type Outcome} from './outcome.js';
import {runSimulation} from './run-simulation.js';

type Pattern = {name: string; loadFactor?: number; faults?: readonly Fault[]; reshape?: (requests: readonly WorkloadRequest[]) => WorkloadRequest[]};

const split: Workload = {...readWorkload('workloads/split.yaml'), seconds: 90, warmUpSeconds: 0};
const lastArrival = 50_000;
const faultTimes = {from: 20_000, until: 40_000};

const patterns: readonly Pattern[] = [
	{name: 'a burst', reshape: requests => requests.map(request => request.arrivesAt > 20_000 && request.arrivesAt < 30_000 ? {...request, arrivesAt: 20_000 + (request.arrivesAt / 100)} : request)},
	{name: 'one prefix with most of the load', reshape: oneHotPrefix},
	{
		name: 'a slow endpoint', faults: [{
			kind: 'engine-slow', target: 'permits-1', factor: 8, ...faultTimes,
		}],
	},
	{
		name: 'long work among short',
		reshape: requests => requests.flatMap(request => request.className === 'rulebook-check'
			? [request, {...request, requestId: `${request.requestId}-again`}]
			: [request]),
	},
	{name: 'saturation', loadFactor: 2},
];

const faults: readonly Fault[] = [
	{
		kind: 'engine-dies', target: 'permits-0', factor: 1, ...faultTimes,
	},
	{
		kind: 'link-slow', target: 'store-0', factor: 10, ...faultTimes,
	},
	{
		kind: 'store-full', target: 'store-1', factor: 1, ...faultTimes,
	},
	{
		kind: 'store-dies', target: 'store-1', factor: 1, ...faultTimes,
	},
	{
		kind: 'data-centre-cut', target: 'centre-2', factor: 1, ...faultTimes,
	},
	{
		kind: 'reports-late', target: '', factor: 2500, ...faultTimes,
	},
];

/** Gives four of five urgent requests the same workspace and prompt prefix. */
function oneHotPrefix(requests: readonly WorkloadRequest[]): WorkloadRequest[] {
	const hot = requests.find(({className}) => className === 'quay-question')!;
	return requests.map((request, index) => request.className === 'quay-question' && index % 5 !== 0
		? {
			...request, workspace: hot.workspace, pieceKeys: hot.pieceKeys, promptTokens: hot.promptTokens,
		}
		: request);
}

function runPatterns(combinedPatterns: readonly Pattern[], fault?: Fault): readonly Outcome[] {
	return runSimulation({
		workload: split,
		policy: 'chosen',
		seed: 7,
		loadFactor: Math.max(1, ...combinedPatterns.map(({loadFactor}) => loadFactor ?? 1)),
		faults: [...combinedPatterns.flatMap(pattern => pattern.faults ?? []), ...(fault === undefined ? [] : [fault])],
		reshape(requests) {
			let reshaped: readonly WorkloadRequest[] = requests.filter(({arrivesAt}) => arrivesAt < lastArrival);
			for (const pattern of combinedPatterns) {
				reshaped = pattern.reshape?.(reshaped) ?? reshaped;
			}

			return reshaped;
		},
	}).outcomes;
}

function checkCallers(outcomes: readonly Outcome[]): void {
	for (const {request, endedAt, refusal, ran, attempts, wholeAnswers, retryAfterMilliseconds, refusedAt} of outcomes) {
		const label = `${request.requestId} (${request.className})`;
		assert.ok(wholeAnswers <= 1, `${label} was answered twice`);
		assert.ok(endedAt === undefined || refusal === undefined, `${label} was answered and refused`);
		assert.ok(ran !== 'not-run' || attempts === 0, `${label} was refused as not run after ${attempts} attempts`);
		if (refusal === 'deadline' || refusal === 'overloaded') {
			assert.ok((retryAfterMilliseconds ?? 0) >= 1000, `${label} was refused without a retry delay`);
			assert.ok(refusedAt! <= request.deadline + 200, `${label} was refused after its deadline`);
		}

		if (request.priority === 'urgent') {
			assert.ok(endedAt !== undefined || refusal !== undefined, `${label} was neither answered nor refused`);
		}
	}
}

function urgentShareInTime(outcomes: readonly Outcome[]): number {
	const urgent = outcomes.filter(({request}) => request.priority === 'urgent');
	const inTime = urgent.filter(({request, firstTokenMilliseconds}) => firstTokenMilliseconds !== undefined && firstTokenMilliseconds <= request.deadline - request.arrivesAt);
	return inTime.length / urgent.length;
}

for (const pattern of patterns) {
	test(`${pattern.name}: urgent requests are answered in time`, () => {
		const outcomes = runPatterns([pattern]);
		checkCallers(outcomes);
		assert.ok(urgentShareInTime(outcomes) >= 0.97, `in time: ${urgentShareInTime(outcomes)}`);
	});
	for (const other of patterns.slice(patterns.indexOf(pattern) + 1)) {
		test(`${pattern.name} with ${other.name}: no urgent request is lost, most are answered in time`, () => {
			const outcomes = runPatterns([pattern, other]);
			checkCallers(outcomes);
			assert.ok(urgentShareInTime(outcomes) >= 0.9, `in time: ${urgentShareInTime(outcomes)}`);
		});
	}
}

for (const [index, fault] of faults.entries()) {
	const pattern = patterns[index % patterns.length]!;
	test(`${pattern.name} during ${fault.kind}: no urgent request is lost, most are answered in time`, () => {
		const outcomes = runPatterns([pattern], fault);
		checkCallers(outcomes);
		assert.ok(urgentShareInTime(outcomes) >= 0.85, `in time: ${urgentShareInTime(outcomes)}`);
	});
}

test('a slow endpoint is recognised by its latency, and urgent requests avoid it', () => {
	const outcomes = runPatterns([patterns[2]!]);
	const urgent = outcomes.filter(({request}) => request.priority === 'urgent');
	const during = urgent.filter(({request}) => request.arrivesAt > 28_000 && request.arrivesAt < 40_000);
	const times = during.map(({firstTokenMilliseconds}) => firstTokenMilliseconds ?? Number.POSITIVE_INFINITY);
	assert.ok(quantileOf(times, 0.5) < 700, `median while slow: ${quantileOf(times, 0.5)} ms`);
});
