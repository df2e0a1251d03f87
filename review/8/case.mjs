/* eslint camelcase: "off" -- the platform's fields are in snake_case */
/**
 * A heartbeat of a server gets no answer from the store, which performs it seconds later, after the server has reported that it
 * leaves. Its entry then says `ready` once more, with the lower `seq`.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {Client} from '../stand-ins-2/client.mjs';
import {Endpoint} from '../stand-ins-2/endpoint.mjs';
import {Gateway} from '../stand-ins-2/gateway.mjs';
import {PlatformStore} from '../stand-ins-2/platform-store.mjs';
import {hasTrouble, Trial, usualLimits} from '../stand-ins-2/trial.mjs';

const host = 'desk.example';
const drainMilliseconds = 2000;
/** The heartbeat is performed this long after it was sent; the pages allow 1 to 6 s. */
const lateMilliseconds = 5600;
/** The server reports that it leaves this long after the lost heartbeat: later than `contact_ms`. */
const leaveMilliseconds = 3100;
const settleMilliseconds = 4000;
const requestIntervalMilliseconds = 20;

const trial = new Trial();
await trial.run(import.meta.dirname, async () => {
	const store = new PlatformStore();
	const storeAddress = await store.start(trial.ip(1));
	trial.onEnd(() => store.stop());
	const leaving = new Endpoint({id: 'i-leaving', host: trial.ip(10), store});
	const staying = new Endpoint({id: 'i-staying', host: trial.ip(11), store});
	for (const endpoint of [leaving, staying]) {
		await endpoint.start();
		trial.onEnd(() => endpoint.stop());
	}

	store.write('op', 'config', {
		version: 1,
		routes: [{
			name: 'lookup', host, prefix: '/lookup/', kind: 'idempotent', timeout_ms: 4000, target_latency_ms: 386, max_attempts: 2, priority: 2, service: 'permit-app', no_auth: true,
		}],
		services: [{name: 'permit-app', health_path: '/health', max_conns: 248}],
		limits: usualLimits,
	});
	const gateway = new Gateway({
		name: 'front-split-zone-1', ip: trial.ip(2), storeAddress, folder: trial.folder,
	});
	trial.onEnd(async () => gateway.kill());
	gateway.start();
	await gateway.waitUntilReady();
	await delay(settleMilliseconds);

	const client = new Client({front: gateway.front, host});
	const sent = [];
	const sending = setInterval(() => {
		sent.push(client.send({path: '/lookup/1', method: 'GET', deadlineMilliseconds: 4001}));
	}, requestIntervalMilliseconds);
	trial.onEnd(() => {
		clearInterval(sending);
		client.close();
	});

	const lostEntry = leaving.nextEntry();
	const lostAt = performance.now();
	if (hasTrouble) {
		trial.note(`a heartbeat of ${leaving.id} gets no answer: state ${lostEntry.state}, seq ${lostEntry.seq}`);
	}

	await delay(leaveMilliseconds);
	leaving.leave();
	const acknowledgedAt = performance.now();
	const leavingVersion = store.versionOf('servers', leaving.id);
	trial.note(`the store acknowledges that ${leaving.id} is draining, seq ${store.read('servers', leaving.id).seq}`);
	await delay(lateMilliseconds - (performance.now() - lostAt));
	if (store.readUpTo('servers') < leavingVersion) {
		throw new Error('the gateway has not read that the server leaves');
	}

	trial.note(`the gateway has asked the store for what follows version ${store.readUpTo('servers')}; the entry that says draining has version ${leavingVersion}`);
	if (hasTrouble) {
		store.write('servers', leaving.id, lostEntry);
		trial.note(`the store performs the lost heartbeat: state ${lostEntry.state}, seq ${lostEntry.seq}`);
	}

	await delay(3000);
	clearInterval(sending);
	for (const {attempt, status, sentAt} of await Promise.all(sent)) {
		trial.note(`request ${attempt} is sent, and is answered ${status}`, sentAt);
	}

	for (const {id, runs} of [leaving, staying]) {
		for (const {at, attempt} of runs) {
			trial.note(`request ${attempt} runs at ${id}`, at);
		}
	}

	const late = leaving.runs.filter(({at}) => at > acknowledgedAt + drainMilliseconds).length;
	const sooner = leaving.runs.filter(({at}) => at > acknowledgedAt + (drainMilliseconds / 2)).length - late;
	trial.note(`requests at ${leaving.id}: ${sooner} in the second before drain_ms was over, ${late} later`);
	return late > 0;
});
