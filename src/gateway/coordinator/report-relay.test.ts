import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import process from 'node:process';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {systemMomentClock} from '../../adapters/system-moment-clock.js';
import {encodeReport} from '../crashes/crash-report-rows.js';
import {testCoordinatorSource} from '../testing/test-coordinator-source.js';
import {testFollower} from '../testing/test-follower.js';
import {CoordinatorClient} from './coordinator-client.js';
import {CoordinatorServer} from './coordinator-server.js';
import {CoordinatorView} from './coordinator-view.js';
import {type KeyedReport, ReportRelay, SentReports} from './report-relay.js';

const timeoutMilliseconds = 5000;

async function freeAddress(): Promise<string> {
	const server = createServer().listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return `127.0.0.1:${port}`;
}

test('a report of a crash that the store does not confirm reaches the other instances through the coordinator', async context => {
	const address = await freeAddress();
	const server = new CoordinatorServer(address, testCoordinatorSource, systemMomentClock);
	const stop = new AbortController();
	void server.run(stop.signal);
	await pause(50);
	const received: KeyedReport[][] = [];
	const clients = [
		testFollower({instance: 'i1', unconfirmedCrashes: () => [['crash/a', {at: 1}], ['crash/b', {at: 2}]]}),
		testFollower({
			instance: 'i2',
			applyCrashes(reports) {
				received.push([...reports]);
			},
		}),
	].map(follower => new CoordinatorClient(new CoordinatorView(), follower, systemMomentClock));
	context.after(() => {
		for (const client of clients) {
			client.close();
		}

		stop.abort();
	});
	for (const client of clients) {
		client.dial(address);
	}

	const startedAt = performance.now();
	while (received.length === 0 && performance.now() - startedAt < timeoutMilliseconds) {
		for (const client of clients) {
			client.poll();
		}

		await pause(20);
	}

	await pause(300);
	assert.deepEqual(received, [[['crash/a', {at: 1}], ['crash/b', {at: 2}]]], 'once, however often it asks');
});

test('a follower sends an unconfirmed report once over a connection, and again over the next one', () => {
	const sent = new SentReports();
	const unconfirmed: KeyedReport[] = [['a', 1], ['b', 2]];
	assert.deepEqual(sent.take(unconfirmed.slice(0, 1)), [['a', 1]]);
	assert.deepEqual(sent.take(unconfirmed), [['b', 2]]);
	assert.deepEqual(sent.take(unconfirmed), []);
	sent.reset();
	assert.deepEqual(sent.take(unconfirmed), unconfirmed);
});

test('the reports that a coordinator keeps are bounded in number and age', () => {
	const relay = new ReportRelay();
	relay.add(Array.from({length: 1000}, (_, number): KeyedReport => [String(number), number]), 0);
	const {reports, position} = relay.after(0);
	assert.equal(reports.length, 256);
	assert.deepEqual(reports.at(-1), ['999', 999]);
	assert.deepEqual(relay.after(position).reports, []);
	relay.add([['late', 0]], 120_000);
	assert.deepEqual(relay.after(0).reports, [['late', 0]]);
});

function crash(instance: string, incarnation: string, blocks: string[]): KeyedReport {
	const prompts = blocks.length === 0
		? []
		: [{
			fingerprint: `${instance}${incarnation}`, workspace: 'own', hasBegun: false, blocks,
		}];
	return [`crash/${instance}/${incarnation}`, {
		kind: 'crash', incarnation, instance, at: 1, requests: [[`${instance}${incarnation}`, 5]], prompts,
	}];
}

function survival(instance: string, feature: string, incarnation: string): KeyedReport {
	return [`survival/${instance}/${feature}`, {
		kind: 'survival', instance, at: 1, requests: [[feature, [incarnation]]],
	}];
}

const keysOf = (relay: ReportRelay, position = 0): string[] => relay.after(position).reports.map(([key]) => key);

test('reports of crashes that have nothing in common are not relayed, however many instances send them', () => {
	// Guards against reports of hundreds of instances about the same crash, which used up the coordinator's link.
	const relay = new ReportRelay();
	for (let instance = 0; instance < 300; instance++) {
		for (let endpoint = 0; endpoint < 13; endpoint++) {
			relay.add([crash(`e${instance}`, `i${endpoint}`, [`block:${instance}-${endpoint}`])], endpoint);
		}
	}

	assert.deepEqual(keysOf(relay), []);
});

test('reports that share a block with the crash of another endpoint are relayed, and so are the answers that clear it', () => {
	// Guards against instances that go on sending a prompt that crashes endpoints, or that refuse one that is sound.
	const relay = new ReportRelay();
	relay.add([crash('e1', 'i1', ['block:bad', 'block:other']), survival('e9', 'block:other', 'i1'), survival('e9', 'block:unknown', 'i1')], 0);
	relay.add([crash('e2', 'i1', ['block:bad'])], 1);
	assert.deepEqual(keysOf(relay), [], 'one endpoint has ended');
	relay.add([crash('e3', 'i2', ['block:bad'])], 2);
	assert.deepEqual(keysOf(relay).toSorted(), ['crash/e1/i1', 'crash/e2/i1', 'crash/e3/i2', 'survival/e9/block:other']);
	const {position} = relay.after(0);
	relay.add([crash('e4', 'i3', ['block:bad']), survival('e5', 'block:bad', 'i2'), crash('e4', 'i4', ['block:alone'])], 3);
	assert.deepEqual(keysOf(relay, position).toSorted(), ['crash/e4/i3', 'survival/e5/block:bad']);
	relay.add([survival('e6', 'block:bad', 'i2')], 200_000);
	assert.deepEqual(keysOf(relay), [], 'what is older has come with the table');
});

/** The processor time of adding 300 urgent reports to a relay that keeps a number of others, in milliseconds. */
function millisecondsOfUrgentReports(others: number): number {
	const relay = new ReportRelay();
	const answered = (key: string, feature: string): KeyedReport => [key, encodeReport({
		kind: 'survival', instance: 'i1', at: 0, requests: [[feature, ['e1']], ...Array.from({length: 20}, (_, number): [string, string[]] => [`${key}-${number}`, ['e1']])],
	})];
	relay.add(Array.from({length: others}, (_, number) => answered(`other-${number}`, 'rare')), 0);
	relay.add(['e1', 'e2'].map((incarnation): KeyedReport => [incarnation, encodeReport({
		kind: 'crash', incarnation, instance: 'i1', at: 0, requests: [['common', 1]],
	})]), 0);
	const urgent = Array.from({length: 300}, (_, number) => answered(`urgent-${number}`, 'common'));
	const before = process.cpuUsage();
	for (const report of urgent) {
		relay.add([report], 0);
	}

	const {user, system} = process.cpuUsage(before);
	assert.equal(relay.after(0).reports.length, 256);
	return (user + system) / 1000;
}

test('an urgent report costs a coordinator with thousands of others no more than one with none', () => {
	// Guards against a coordinator that has no time for queries while hundreds of instances report many crashes.
	const tries = [1, 2, 3].map(() => [millisecondsOfUrgentReports(4000), millisecondsOfUrgentReports(0)] as const);
	const ratios = tries.map(([many, none]) => many / Math.max(1, none));
	assert.ok(Math.min(...ratios) < 5, `${ratios.join(', ')} times as long`);
});
