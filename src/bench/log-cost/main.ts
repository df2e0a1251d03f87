/**
 * `npm run --silent bench:log | cat > /dev/null`: measures the processor time that logging adds to a gateway.
 *
 * A caller sends short requests as fast as they are answered, in four alternating variants: straight to the endpoint,
 * through the gateway without a log, through the gateway with the log as it is, and with every line written, which the
 * log's bounds don't allow otherwise. Caller, endpoint and gateway share this process, so the cost of the first variant is
 * subtracted from the others. Lines go to standard output and the report to standard error. A loop that only writes lines
 * would show only a quarter to a half of the cost: between requests each write wakes the reader and finds the processor's
 * caches cold.
 */
import {Agent, request as sendRequest} from 'node:http';
import process from 'node:process';
import {ownWireNames as names} from '../../gateway/data-path/wire-names.js';
import {DecisionLog} from '../../gateway/observability/decision-log.js';
import {answerSealed, TestGateway} from '../../gateway/testing/test-gateway.js';
import {quantileOf} from '../../load/measure/statistics.js';

const rounds = 41;
const requestsInRound = 1000;
const requestsAtOnce = 8;
const bodyBytes = 800;
const millisecondsInSecond = 1000;

type Variant = 'straight' | 'without a log' | 'log as it is' | 'every line written';

async function sendOne(agent: Agent, address: string, id: string): Promise<void> {
	const [host, port] = address.split(':');
	return new Promise((resolve, reject) => {
		const outgoing = sendRequest({
			host, port, agent, method: 'POST', path: '/', headers: {host: 'quay.example', [names.attemptId]: id, [names.deadline]: '2000'},
		}, response => {
			response.resume().once('end', resolve);
		});
		outgoing.once('error', reject).end('x');
	});
}

/** Runs one round and returns microseconds of processor time per request. */
async function costOfRound(agent: Agent, address: string): Promise<number> {
	const start = process.cpuUsage();
	for (let sent = 0; sent < requestsInRound; sent += requestsAtOnce) {
		await Promise.all(Array.from({length: requestsAtOnce}, async (_, index) => sendOne(agent, address, `a${sent + index}`)));
	}

	const {user, system} = process.cpuUsage(start);
	return (user + system) / requestsInRound;
}

class NoLog extends DecisionLog {
	override record(): void {
		// Nothing is written, counted or bounded. The fields of a line are still built, which takes some microseconds a request.
	}
}

/** Returns a log whose clock advances by a second with each line, so that the limits per second never drop a line. */
function unboundedLog(): DecisionLog {
	let now = Date.UTC(2000);
	return new DecisionLog(process.stdout, {instance: 'front-zone-1'}, () => {
		now += millisecondsInSecond;
		return now;
	});
}

const gateway = await new TestGateway().start();
const endpoint = await gateway.addEndpoint((request, response) => {
	request.resume();
	answerSealed(request, response, {body: 'x'.repeat(bodyBytes)});
});
const agent = new Agent({keepAlive: true, maxSockets: requestsAtOnce});
const noLog = new NoLog({writableLength: 0, write: () => true}, {}, () => 0);
const variants: Record<Variant, {address: string; log: DecisionLog}> = {
	straight: {address: endpoint.address, log: noLog},
	'without a log': {address: gateway.address, log: noLog},
	'log as it is': {address: gateway.address, log: new DecisionLog(process.stdout, {instance: 'front-zone-1'}, Date.now)},
	'every line written': {address: gateway.address, log: unboundedLog()},
};
const costs = new Map<Variant, number[]>();
for (let round = 0; round <= rounds; round++) {
	for (const [variant, {address, log}] of Object.entries(variants) as Array<[Variant, {address: string; log: DecisionLog}]>) {
		gateway.context.log = log;
		const cost = await costOfRound(agent, address);
		// The first round is a warm-up (JIT compilation) and isn't counted.
		costs.set(variant, round === 0 ? [] : [...costs.get(variant)!, cost]);
	}
}

agent.destroy();
await gateway.close();
// The difference is taken within each round, since other load on the machine varies between rounds by more than the log costs.
const medianDifference = (variant: Variant, base: Variant): number => quantileOf(costs.get(variant)!.map((cost, round) => cost - costs.get(base)![round]!), 0.5);
const gatewayCost = medianDifference('without a log', 'straight');
console.error(`the gateway without a log: ${gatewayCost.toFixed(0)} µs of processor time a request (median of ${rounds} rounds of ${requestsInRound} requests)`);
for (const variant of ['log as it is', 'every line written'] as const) {
	const added = medianDifference(variant, 'without a log');
	console.error(`${variant}: ${added.toFixed(1)} µs more a request, ${(added / gatewayCost * 100).toFixed(1)}% of that`);
}
