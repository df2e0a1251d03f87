import assert from 'node:assert/strict';
import {test} from 'node:test';
import {changeOf} from '../../bench/bench-changes.js';
import {idleReport} from '../../bench/bench-reports.js';
import {type VirtualPeer, VirtualPeers} from '../../bench/virtual-peers.js';
import {type ListedInstance} from '../../shared/types.js';

const names = (count: number, dataCentre = 'split') => Array.from({length: count}, (_, index) => ({
	name: `${dataCentre}-entry-${index}`, dataCentre,
}));

const endpoints = (count: number, dataCentre = 'split'): ListedInstance[] => Array.from({length: count}, (_, index) => ({
	name: `${dataCentre}-engine-${index}`, role: 'model-engine', dataCentre, service: 'permits', address: `127.0.0.1:${index}`, peerAddress: '', state: 'live',
}));

const ownedBy = (peers: readonly VirtualPeer[]) => peers.flatMap(({node}) => node.loadGossip.owned()).toSorted();

test('the endpoints of failed instances get a new owner within 5 s when a third of 48 instances fail at once', () => {
	// The endpoints that the failed instances polled need another owner. Their neighbours receive no more heartbeats and mark
	// them as `gone`, the updates cross the ring, and all instances assign owners again. After 5 s each endpoint must have
	// exactly one owner, because loads that nobody polls go stale.
	const network = new VirtualPeers(1);
	const listed = endpoints(96);
	network.startAll(names(48), listed);
	network.run(10_000);
	assert.deepEqual(ownedBy(network.running()), listed.map(({name}) => name).toSorted());
	for (let index = 0; index < 48; index += 3) {
		network.kill(`split-entry-${index}`);
	}

	const took = network.runUntil(() => {
		const owned = ownedBy(network.running());
		const isAgreed = network.running().every(({node}) => node.membership.ownLive().length === 32);
		return isAgreed && owned.length === 96 && new Set(owned).size === 96;
	}, 10_000);
	assert.ok(took !== undefined && took <= 5000, `one view and one owner for each endpoint after ${took} ms`);
});

test('when a member leaves, only its own shards move, within a second', () => {
	// On a graceful shutdown the announcement crosses the data centre, and each key of another member keeps its owner.
	const network = new VirtualPeers(8);
	const peers = network.startAll(names(50));
	network.run(5000);
	const keys = Array.from({length: 1000}, (_, index) => `shard-${index}`);
	const [first, leaving] = peers as [VirtualPeer, VirtualPeer];
	const before = new Map(keys.map(key => [key, first.node.ownerOf(key)]));
	network.send(leaving, leaving.node.leave());
	network.kill(leaving.listed.name);
	const stayed = peers.filter(peer => peer !== leaving);
	const took = network.runUntil(() => stayed.every(({node}) => node.membership.ownLive().length === 49), 5000);
	assert.ok(took !== undefined && took <= 1000, `departure known after ${took} ms`);
	const moved = keys.filter(key => before.get(key) !== first.node.ownerOf(key));
	assert.deepEqual(moved, keys.filter(key => before.get(key) === leaving.listed.name));
	assert.ok(stayed.every(({node}) => keys.every(key => node.ownerOf(key) === first.node.ownerOf(key))));
});

test('an instance that resumes after a pause is a live member again', () => {
	// While an instance is paused, its shards move to others. When it resumes it has received nothing for a long time, but must
	// not mark its neighbours as `gone`. It receives the update that it has itself failed, refutes it, and gets its shards back.
	const network = new VirtualPeers(2);
	const peers = network.startAll(names(30));
	network.run(5000);
	peers[7]!.state = 'paused';
	network.run(12_000);
	const others = peers.filter(peer => peer !== peers[7]);
	assert.ok(others.every(({node}) => node.membership.ownLive().length === 29));
	peers[7]!.state = 'running';
	const took = network.runUntil(() => peers.every(({node}) => node.membership.ownLive().length === 30), 10_000);
	assert.notEqual(took, undefined);
	assert.ok(peers[7]!.events.every(({text}) => !text.endsWith('gone')));
});

test('a data centre reconnects to the others after a network partition', () => {
	// Both sides mark each other as `gone` and go on separately; the larger side accepts a change meanwhile. After the partition
	// one dial to a failed member that is still listed is enough: all members become live, and all get the change.
	const network = new VirtualPeers(3);
	const peers = network.startAll([...names(6), ...names(4, 'trogir'), ...names(4, 'makarska')]);
	network.run(5000);
	network.cut(names(4, 'trogir').map(({name}) => name), 'alone');
	network.run(120_000);
	const change = changeOf(peers[0]!.configuration.state, 1);
	peers[0]!.configuration.offerChange(change);
	network.send(peers[0]!, peers[0]!.node.announceChange(change));
	network.run(3000);
	assert.equal(peers.filter(({configuration}) => configuration.state.version === 1).length, 10);
	network.cut(names(4, 'trogir').map(({name}) => name), '');
	const took = network.runUntil(() => peers.every(({configuration, node}) => configuration.state.version === 1 && node.membership.allLive().length === 14), 20_000);
	assert.notEqual(took, undefined);
});

test('a change reaches 96 instances within 3 s although a tenth of the messages are lost', () => {
	// A lost announcement or answer shows as a version gap in the next heartbeat, and the change is queried again.
	const network = new VirtualPeers(4);
	const peers = network.startAll(names(96));
	network.run(5000);
	network.loss = 0.1;
	for (let version = 1; version <= 3; version++) {
		const change = changeOf(peers[5]!.configuration.state, version);
		peers[5]!.configuration.offerChange(change);
		network.send(peers[5]!, peers[5]!.node.announceChange(change));
		const took = network.runUntil(() => peers.every(({configuration}) => configuration.state.version === version), 5000);
		assert.ok(took !== undefined && took <= 3000, `in force after ${took} ms`);
	}
});

test('a new instance gets the whole configuration from peers while the platform is down', () => {
	// The table cannot be read, and the peers retain too few changes, so one of them sends a snapshot.
	const network = new VirtualPeers(5);
	const peers = network.startAll(names(5));
	network.run(3000);
	for (let version = 1; version <= 1100; version++) {
		const change = changeOf(peers[0]!.configuration.state, version);
		peers[0]!.configuration.offerChange(change);
		network.send(peers[0]!, peers[0]!.node.announceChange(change));
		network.run(5);
	}

	assert.notEqual(network.runUntil(() => peers.every(({configuration}) => configuration.state.version === 1100), 5000), undefined);
	const late = network.start('split-entry-late', 'split');
	network.announce();
	assert.notEqual(network.runUntil(() => late.configuration.state.version === 1100, 3000), undefined);
	assert.deepEqual(late.configuration.state.workspaces, peers[0]!.configuration.state.workspaces);
});

test('all instances know within a second that an endpoint is leaving', () => {
	// The owner of the endpoint gets its report with the state `leaving`. No other instance polls that endpoint, but all of them,
	// also those in other cells, must stop sending requests to it.
	const network = new VirtualPeers(6);
	const listed = endpoints(400);
	const peers = network.startAll(names(48), listed);
	network.run(5000);
	const owner = peers.find(({node}) => node.loadGossip.ownedCount > 0)!;
	const [leaving] = owner.node.loadGossip.owned();
	network.send(owner, owner.node.handleReport(leaving!, {...idleReport, state: 'leaving'}, network.now));
	const others = peers.filter(peer => peer !== owner);
	const took = network.runUntil(() => others.every(({receivedLoads}) => receivedLoads.get(leaving!)?.summary.state === 'leaving'), 3000);
	assert.ok(took !== undefined && took <= 1000, `known after ${took} ms`);
});

test('a change that one data centre read reaches all eight over the bridges between them', () => {
	// Only the first data centre reaches the platform. Its bridges announce the change to the bridges of the other data centres,
	// and these to their own data centres.
	const network = new VirtualPeers(7);
	const peers = network.startAll(Array.from({length: 8}, (_, index) => names(9, `centre-${index}`)).flat());
	network.run(6000);
	assert.ok(peers.every(({node}) => node.overlay.neighbours.size < 30));
	const change = changeOf(peers[4]!.configuration.state, 1);
	peers[4]!.configuration.offerChange(change);
	network.send(peers[4]!, peers[4]!.node.announceChange(change));
	const took = network.runUntil(() => peers.every(({configuration}) => configuration.state.version === 1), 5000);
	assert.ok(took !== undefined && took <= 2000, `everywhere after ${took} ms`);
});
