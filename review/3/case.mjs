/* eslint camelcase: "off" -- the platform's names have underscores */
/** A model server sends bytes that are no answer, without an end, in the body of a stream. Are the other callers answered? */
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {
	Client, dataCentres, host, isTroubled, runCase,
} from '../stand-ins/deployment.mjs';

const plainRoute = {
	host, timeout_ms: 2000, target_latency_ms: 300, priority: 2, service: 'booking-app', no_auth: false, sticky: false,
};
const routes = [
	{
		...plainRoute, name: 'tag', prefix: '/tag/', kind: 'stream', timeout_ms: 4000, priority: 0, service: 'llm-pool', max_attempts: 2, sticky: true, resumable: true, gap_aim_ms: 250,
	},
	{
		...plainRoute, name: 'reserve', prefix: '/reserve/', kind: 'non_idempotent', max_attempts: 1,
	},
	{
		...plainRoute, name: 'lookup', prefix: '/lookup/', kind: 'idempotent', max_attempts: 2,
	},
];
const engine = {
	slots: 12, kv_capacity_tokens: 74_469, kv_token_bytes: 327_680, link_mbps: 260_000, managed: true, max_inflight: 12, models: [{name: 'llm'}],
};
const services = [
	{
		name: 'booking-app', health_path: '/health', max_conns: 214, protocol: 'h1', tls: false,
	},
	{
		name: 'llm-pool', health_path: '/health', max_conns: 321, protocol: 'h1', tls: false, engine,
	},
];
const routeTimeoutMilliseconds = 2000;
/** An answer this long after the timeout of its route is still in time. */
const slackMilliseconds = 500;
/** The rule counts from this many on. */
const minUnanswered = 8;
const deadlineMilliseconds = 4000;
const trafficMilliseconds = 30_000;
const callIntervalMilliseconds = 30;
const streamIntervalMilliseconds = 10;
/** Pieces of the length of this deployment's events, at 4 MB/s: a twentieth of what an instance's link carries. */
const garbage = {bytes: 65, perInterval: 600, intervalMilliseconds: 10};
/** One server of three spoils two in a hundred of its answers, for 5 s in each 10 s. */
const spoiled = {spoiledEvery: 50, spoils: {forMilliseconds: 5000, everyMilliseconds: 10_000}};
const streamTarget = '/tag/2f';

await runCase(fileURLToPath(new URL('.', import.meta.url)), async deployment => {
	deployment.onServerEvent = ({event, id, server}) => {
		deployment.note(`${id} ${event} at ${server}`);
	};

	await deployment.start({gateways: dataCentres, routes, services});
	for (const [index, dataCentre] of dataCentres.entries()) {
		deployment.startServer({
			service: 'booking-app', zone: dataCentre, slots: 6, workMilliseconds: 85, place: index + 1,
		});
		deployment.startServer({
			service: 'llm-pool', zone: dataCentre, slots: 12, workMilliseconds: 20, model: 'llm', place: index + 11, ...(isTroubled && index === 0 ? {...spoiled, garbage} : {}),
		});
	}

	await deployment.untilReady();
	await delay(3000);
	const client = new Client();
	const answers = [];
	const sends = [];
	const send = async (number, call) => {
		const gateway = deployment.gateways[number % dataCentres.length];
		const answer = await client.send(gateway, {...call, deadlineMilliseconds});
		const {id, target, status, isWhole, milliseconds} = answer;
		answers.push(answer);
		deployment.note(`${id} ${target} at ${gateway.name}: ${status === 0 ? 'no answer' : status}${isWhole ? '' : ', not whole'}, ${Math.round(milliseconds)} ms`);
	};

	const endsAt = performance.now() + trafficMilliseconds;
	const sendCalls = async () => {
		for (let number = 0; performance.now() < endsAt; number++) {
			const isLookup = number % 4 === 0;
			sends.push(send(number, {method: isLookup ? 'GET' : 'POST', target: isLookup ? '/lookup/2f' : '/reserve/2f', body: isLookup ? '' : 'x'.repeat(600)}));
			await delay(callIntervalMilliseconds);
		}
	};

	const sendStreams = async () => {
		for (let number = 0; performance.now() < endsAt; number++) {
			sends.push(send(number, {
				target: streamTarget, body: 'x'.repeat(380), headers: {'X-Model': 'llm', 'X-Token-Count': '383,6', 'X-Prompt-Prefix': `a0:55,b${number % 50}:246,c${number}:82`},
			}));
			await delay(streamIntervalMilliseconds);
		}
	};

	await Promise.all([sendCalls(), sendStreams()]);
	await Promise.all(sends);
	client.close();
	const calls = answers.filter(({target}) => target !== streamTarget);
	const late = calls.filter(({milliseconds}) => milliseconds > routeTimeoutMilliseconds);
	const unanswered = late.filter(({milliseconds}) => milliseconds > routeTimeoutMilliseconds + slackMilliseconds);
	return {
		isBroken: unanswered.length >= minUnanswered && unanswered.length > late.length / 2,
		text: `of ${calls.length} calls of a plain service, ${late.length} were unanswered at the timeout of their route, and ${unanswered.length} of these half a second later`,
	};
});
