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

const ownedBy = (peers: readonly VirtualPeer[]) => peers.flatMap(({node}) => node.knowledge.owned()).toSorted();

test('a third of 48 instances dies at once', () => {
	// Callers see nothing of it here: the endpoints that the dead ones watched get another watcher. First the links of
	// the dead end and they fall silent, then their neighbours call them gone, the rumour crosses the ring, and everybody
	// shares out anew. Within 5 s each endpoint has exactly one owner again, or two answers about its load would age.
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
	assert.ok(took !== undefined && took <= 5000, `owned again, and one view, after ${took} ms`);
});

test('a member that leaves gives away only its own shards, at once and evenly', () => {
	// A graceful end: the good-bye crosses the data centre, and each key that was not the leaving one's stays where it is.
	const network = new VirtualPeers(8);
	const peers = network.startAll(names(50));
	network.run(5000);
	const keys = Array.from({length: 1000}, (_, index) => `shard-${index}`);
	const [first, leaving] = peers as [VirtualPeer, VirtualPeer];
	const before = new Map(keys.map(key => [key, first.node.ownerOf(key)]));
	network.carry(leaving, leaving.node.leave());
	network.kill(leaving.listed.name);
	const stayed = peers.filter(peer => peer !== leaving);
	const took = network.runUntil(() => stayed.every(({node}) => node.membership.ownLive().length === 49), 5000);
	assert.ok(took !== undefined && took <= 1000, `handed over after ${took} ms`);
	const moved = keys.filter(key => before.get(key) !== first.node.ownerOf(key));
	assert.deepEqual(moved, keys.filter(key => before.get(key) === leaving.listed.name));
	assert.ok(stayed.every(({node}) => keys.every(key => node.ownerOf(key) === first.node.ownerOf(key))));
});

test('a paused instance comes back and is not called gone for ever', () => {
	// Nobody sees an error: work of the paused one goes to others while it sleeps. When it wakes it has heard nothing for
	// long, yet must not call everybody gone; it learns that it was called gone, contradicts, and gets its share again.
	const network = new VirtualPeers(2);
	const peers = network.startAll(names(30));
	network.run(5000);
	peers[7]!.state = 'paused';
	network.run(12_000);
	const others = peers.filter(peer => peer !== peers[7]);
	assert.ok(others.every(({node}) => node.membership.ownLive().length === 29));
	peers[7]!.state = 'running';
	const back = network.runUntil(() => peers.every(({node}) => node.membership.ownLive().length === 30), 10_000);
	assert.notEqual(back, undefined);
	assert.ok(peers[7]!.events.every(({text}) => !text.endsWith('gone')));
});

test('a data centre that was cut off finds the others again', () => {
	// Both sides call each other gone and go on by themselves; a change is accepted meanwhile on the larger side. After
	// the cut one try at a gone member that the list still names is enough: all are live, and all have the change.
	const network = new VirtualPeers(3);
	const peers = network.startAll([...names(6), ...names(4, 'trogir'), ...names(4, 'makarska')]);
	network.run(5000);
	network.cut(names(4, 'trogir').map(({name}) => name), 'alone');
	network.run(120_000);
	const change = changeOf(peers[0]!.keeper.state, 1);
	peers[0]!.keeper.offerChange(change);
	network.carry(peers[0]!, peers[0]!.node.changeInForce(change));
	network.run(3000);
	assert.equal(peers.filter(({keeper}) => keeper.state.version === 1).length, 10);
	network.cut(names(4, 'trogir').map(({name}) => name), '');
	const back = network.runUntil(() => peers.every(({keeper, node}) => keeper.state.version === 1 && node.membership.allLive().length === 14), 20_000);
	assert.notEqual(back, undefined);
});

test('a change reaches 96 instances within a second though messages are lost', () => {
	// An announcement or an answer that is lost shows as a gap at the next heartbeat, and is asked for again.
	const network = new VirtualPeers(4);
	const peers = network.startAll(names(96));
	network.run(5000);
	network.loss = 0.1;
	for (let version = 1; version <= 3; version++) {
		const change = changeOf(peers[5]!.keeper.state, version);
		peers[5]!.keeper.offerChange(change);
		network.carry(peers[5]!, peers[5]!.node.changeInForce(change));
		const took = network.runUntil(() => peers.every(({keeper}) => keeper.state.version === version), 5000);
		assert.ok(took !== undefined && took <= 3000, `in force after ${took} ms`);
	}
});

test('a new instance gets the whole configuration from peers while the platform is down', () => {
	// Nothing can be read from the table; the peers keep too few changes, so one of them gives a snapshot.
	const network = new VirtualPeers(5);
	const peers = network.startAll(names(5));
	network.run(3000);
	for (let version = 1; version <= 1100; version++) {
		const change = changeOf(peers[0]!.keeper.state, version);
		peers[0]!.keeper.offerChange(change);
		network.carry(peers[0]!, peers[0]!.node.changeInForce(change));
		network.run(5);
	}

	assert.notEqual(network.runUntil(() => peers.every(({keeper}) => keeper.state.version === 1100), 5000), undefined);
	const late = network.start('split-entry-late', 'split');
	network.announce();
	assert.notEqual(network.runUntil(() => late.keeper.state.version === 1100, 3000), undefined);
	assert.deepEqual(late.keeper.state.workspaces, peers[0]!.keeper.state.workspaces);
});

test('that an endpoint leaves is known everywhere within a second', () => {
	// Its owner reads it in the endpoint's own report; nobody else asks that endpoint, and callers of all instances must
	// stop sending to it, also those in other cells.
	const network = new VirtualPeers(6);
	const listed = endpoints(400);
	const peers = network.startAll(names(48), listed);
	network.run(5000);
	const owner = peers.find(({node}) => node.knowledge.ownedCount > 0)!;
	const [leaving] = owner.node.knowledge.owned();
	network.carry(owner, owner.node.takeReport(leaving!, {...idleReport, state: 'leaving'}, network.now));
	const others = peers.filter(peer => peer !== owner);
	const took = network.runUntil(() => others.every(({learned}) => learned.get(leaving!)?.summary.state === 'leaving'), 3000);
	assert.ok(took !== undefined && took <= 1000, `known after ${took} ms`);
});

test('a change that one data centre read reaches all eight, over the gateways between them', () => {
	// Only the first data centre reaches the platform. Its instances tell the gateways of the others, and those theirs.
	const network = new VirtualPeers(7);
	const peers = network.startAll(Array.from({length: 8}, (_, index) => names(9, `centre-${index}`)).flat());
	network.run(6000);
	assert.ok(peers.every(({node}) => node.overlay.neighbours.size < 30));
	const change = changeOf(peers[4]!.keeper.state, 1);
	peers[4]!.keeper.offerChange(change);
	network.carry(peers[4]!, peers[4]!.node.changeInForce(change));
	const took = network.runUntil(() => peers.every(({keeper}) => keeper.state.version === 1), 5000);
	assert.ok(took !== undefined && took <= 2000, `everywhere after ${took} ms`);
});
