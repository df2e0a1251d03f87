/* eslint camelcase: "off" -- the platform's names have underscores */
/** An entry of another writer lies in the list of servers while servers crash. Do the instances and their other requests go on? */
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
		...plainRoute, name: 'reserve', prefix: '/reserve/', kind: 'non_idempotent', max_attempts: 1,
	},
	{
		...plainRoute, name: 'lookup', prefix: '/lookup/', kind: 'idempotent', max_attempts: 2,
	},
];
const services = [{
	name: 'booking-app', health_path: '/health', max_conns: 214, protocol: 'h1', tls: false,
}];
/** The rule allows this many to a machine. */
const maxLost = 3;
const crashes = 12;
const crashIntervalMilliseconds = 5000;
const downMilliseconds = 2000;
/** About as many requests as the callers of this service send. */
const requestIntervalMilliseconds = 15;
const deadlineMilliseconds = 4000;

await runCase(fileURLToPath(new URL('.', import.meta.url)), async deployment => {
	/** The server that ran each request. */
	const ranAt = new Map();
	deployment.onServerEvent = ({event, id, server}) => {
		ranAt.set(id, deployment.servers.find(other => other.id === server));
		deployment.note(`${id} ${event} at ${server}`);
	};

	await deployment.start({gateways: dataCentres, routes, services});
	const startServer = (place, zone) => deployment.startServer({
		service: 'booking-app', zone, slots: 6, workMilliseconds: 85, place,
	});
	let servers = dataCentres.map((dataCentre, index) => startServer(index + 1, dataCentre));
	await deployment.untilReady();
	await delay(3000);
	if (isTroubled) {
		// The registration of a program that is none of the system's services. Its address is a host without a port.
		deployment.store.write('servers', 'agent-mobile-1', {
			service: 'yard-agent', address: deployment.unusedIp(), zone: 'mobile-yard', state: 'ready',
		});
		deployment.note('an entry of another writer was added: agent-mobile-1');
	}

	const client = new Client();
	const answers = [];
	const sending = new AbortController();
	const send = async (gateway, isLookup) => {
		const answer = await client.send(gateway, {
			method: isLookup ? 'GET' : 'POST', target: isLookup ? '/lookup/2f' : '/reserve/2f', body: isLookup ? '' : 'x'.repeat(600), deadlineMilliseconds,
		});
		answers.push({...answer, gateway: gateway.name, endedAt: deployment.now});
		deployment.note(`${answer.id} ${answer.target} at ${gateway.name}, ${answer.isKept ? 'kept' : 'new'} connection: ${answer.status === 0 ? 'no answer' : answer.status}`);
	};

	const traffic = (async () => {
		const sends = [];
		for (let number = 0; !sending.signal.aborted; number++) {
			sends.push(send(deployment.gateways[number % deployment.gateways.length], number % 4 === 0));
			await delay(requestIntervalMilliseconds);
		}

		await Promise.all(sends);
	})();
	await delay(2000);
	for (let crash = 0; crash < crashes; crash++) {
		const [server, ...others] = servers;
		deployment.crashServer(server);
		await delay(downMilliseconds);
		servers = [...others, startServer(server.place, server.dataCentre)];
		await delay(crashIntervalMilliseconds - downMilliseconds);
	}

	sending.abort();
	await traffic;
	client.close();
	// A server that crashed before the connection of the request ended may be the reason that there is no answer.
	const isSound = (server, endedAt) => server !== undefined && (server.crashedAt === undefined || endedAt < server.crashedAt);
	const lost = answers.filter(({
		id, status, isKept, milliseconds, endedAt,
	}) => status === 0 && isKept && milliseconds < deadlineMilliseconds && isSound(ranAt.get(id), endedAt));
	const lostAt = deployment.gateways.map(({name}) => lost.filter(({gateway}) => gateway === name).length);
	const ends = deployment.gateways.map(gateway => `${gateway.name} ${gateway.ends.length}`).join(', ');
	return {
		isBroken: Math.max(...lostAt) > maxLost,
		text: `requests of kept connections that were passed on to sound servers and got no answer, by instance: ${lostAt.join(', ')}; processes that ended by themselves: ${ends}; ${answers.length} requests`,
	};
});
