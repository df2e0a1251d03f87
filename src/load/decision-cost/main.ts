/**
 * `npm run bench:decisions`: measures the time of a routing decision with 15, 150 and 1,500 endpoints in view, and
 * of an admission decision. Between two routing decisions as many load reports arrive as at the target size.
 */
import process from 'node:process';
import {FairShareAdmission} from '../../decision/admission/fair-share-admission.js';
import {CachedPrefixes} from '../../decision/cache/cached-prefixes.js';
import {ExpectedFirstTokenPolicy} from '../../decision/routing/expected-first-token-policy.js';
import {LinkEstimate} from '../../decision/routing/link-estimate.js';
import {type EndpointView, type RouteRequest} from '../../decision/routing/routing-policy.js';
import {quantileOf} from '../measure/statistics.js';
import {Random} from '../workload/random.js';

const sizes = [15, 150, 1500];
const warmUps = 3000;
const decisions = 10_000;
const prefixes = 2000;
const blocksPerPrompt = 18;
const servicesInView = 2;
/** Load reports that arrive between two decisions: 1,500 reports and 16 requests a second make about 90. */
const reportsPerDecision = 90;
const waitingRequests = 200;
const workspaces = 40;

type Cost = {decision: string; endpoints: number; medianMicroseconds: number; p99Microseconds: number};

function viewOf(index: number, now: number, random: Random): EndpointView {
	return {
		name: `engine-${index}`,
		address: `engine-${index}`,
		dataCentre: `centre-${index % 8}`,
		service: `service-${index % servicesInView}`,
		model: 'model',
		weightVersion: 'v1',
		state: 'live',
		heardAt: now,
		load: {
			model: 'model',
			weightVersion: 'v1',
			state: 'live',
			runningRequests: random.index(16),
			waitingRequests: random.index(3),
			waitingPrefillTokens: random.index(20_000),
			prefillTokensPerSecond: 8000,
			decodeTokensPerSecond: 50,
			batchLimit: 16,
			kvTokensUsed: 0,
			kvTokensCapacity: 300_000,
			measuredAt: now,
		},
	};
}

function requestOf(index: number, random: Random): RouteRequest {
	const prefix = random.index(prefixes);
	return {
		requestId: `request-${index}`,
		workspace: `workspace-${prefix % workspaces}`,
		service: `service-${prefix % servicesInView}`,
		weightVersion: 'v1',
		priority: random.fraction() < 0.5 ? 'urgent' : 'overnight',
		promptTokens: (blocksPerPrompt * 2048) + 300,
		pieceKeys: Array.from({length: blocksPerPrompt}, (_, block) => `prefix-${prefix}-${block}`),
		avoid: [],
		deadline: Number.POSITIVE_INFINITY,
	};
}

function routingCost(endpoints: number): Cost {
	const random = new Random(1);
	const cachedPrefixes = new CachedPrefixes();
	const policy = new ExpectedFirstTokenPolicy(cachedPrefixes, {
		dataCentre: 'centre-0', links: new Map([['store-0', new LinkEstimate(40)]]), blockTokens: 2048,
	});
	let views = Array.from({length: endpoints}, (_, index) => viewOf(index, 0, random));
	const times: number[] = [];
	for (let index = 0; index < warmUps + decisions; index++) {
		const now = index * 60;
		views = [...views];
		for (let renewed = 0; renewed < Math.min(endpoints, reportsPerDecision); renewed++) {
			const position = ((index * reportsPerDecision) + renewed) % endpoints;
			views[position] = viewOf(position, now, random);
		}

		const request = requestOf(index, random);
		const startedAt = performance.now();
		const choice = policy.choose(request, views, now);
		if (choice.kind === 'send') {
			policy.observe({kind: 'sent', endpoint: choice.endpoint.name, request}, now);
		}

		times.push(performance.now() - startedAt);
		if (choice.kind === 'send') {
			policy.observe({
				kind: 'first-token', endpoint: choice.endpoint.name, request, afterMilliseconds: 300,
			}, now);
			policy.observe({
				kind: 'ended', endpoint: choice.endpoint.name, request, outcome: 'whole', cachedTokens: 0,
			}, now);
		}
	}

	return costOf('routing', endpoints, times);
}

function admissionCost(): Cost {
	const random = new Random(2);
	const policy = new FairShareAdmission();
	const times: number[] = [];
	let running: string[] = [];
	policy.setCapacity('service', {maxRequests: 16, maxUrgentRequests: 32}, 0);
	for (let index = 0; index < warmUps + decisions; index++) {
		const now = index * 60;
		const requestId = `request-${index}`;
		const startedAt = performance.now();
		const arrived = policy.arrive({
			requestId,
			workspace: `workspace-${random.index(workspaces)}`, share: 1, service: 'service',
			priority: index % 2 === 0 ? 'normal' : 'overnight', promptTokens: 8000, deadline: Number.POSITIVE_INFINITY,
		}, now);
		const ended = index > waitingRequests ? running[0] : undefined;
		const finished = ended === undefined ? [] : policy.finish(ended, now);
		times.push(performance.now() - startedAt);
		running = [...running.filter(name => name !== ended), ...[...arrived, ...finished].filter(({kind}) => kind === 'admit').map(action => action.requestId)];
	}

	return costOf(`admission, ${policy.waiting().length} waiting`, 0, times);
}

function costOf(decision: string, endpoints: number, times: readonly number[]): Cost {
	const counted = times.slice(warmUps).map(milliseconds => milliseconds * 1000);
	return {
		decision, endpoints, medianMicroseconds: quantileOf(counted, 0.5), p99Microseconds: quantileOf(counted, 0.99),
	};
}

const costs = [...sizes.map(size => routingCost(size)), admissionCost()];
if (process.argv.includes('--json')) {
	console.log(JSON.stringify(costs));
} else {
	for (const {decision, endpoints, medianMicroseconds, p99Microseconds} of costs) {
		const inView = endpoints === 0 ? '' : `, ${endpoints} endpoints in view`;
		console.log(`${decision}${inView}: median ${medianMicroseconds.toFixed(1)} µs, p99 ${p99Microseconds.toFixed(1)} µs`);
	}
}
