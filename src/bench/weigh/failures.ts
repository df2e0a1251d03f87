/**
 * `npm run bench:weigh -- failures`: simulates the death of a third of a data centre, the isolation of a data centre, and an
 * outage of the platform for an hour, in virtual time with the peer code of the entry.
 */
import {type ListedInstance} from '../../shared/types.js';
import {type VirtualPeer, VirtualPeers} from '../virtual-peers.js';
import {VirtualPlatform} from '../virtual-platform.js';

const limitMilliseconds = 30_000;
const settleMilliseconds = 10_000;

function endpointsOf(count: number, dataCentre: string): ListedInstance[] {
	return Array.from({length: count}, (_, index) => ({
		name: `${dataCentre}-engine-${index}`, role: 'model-engine', dataCentre, service: 'permits', address: '', peerAddress: '', state: 'live',
	}));
}

function namesOf(count: number, dataCentre: string): Array<{name: string; dataCentre: string}> {
	return Array.from({length: count}, (_, index) => ({name: `${dataCentre}-entry-${index}`, dataCentre}));
}

/** The effects of killing a third of 48 instances; times are in milliseconds since the kill. */
export type ThirdKilled = {
	ownedAgain: number | undefined;
	firstGone: number;
	lastGone: number;
	live: number;
	calledGoneWrongly: number;
	mostTableReadsPerSecond: number;
	timeLine: Array<{at: number; gone: number; taken: number}>;
};

/** Kills every third of 48 instances at once. */
export function playThirdKilled(seed: number): ThirdKilled {
	const endpoints = endpointsOf(96, 'split');
	const network = new VirtualPeers(seed);
	const platform = new VirtualPlatform(network, endpoints);
	network.startAll(namesOf(48, 'split'), endpoints);
	network.run(settleMilliseconds);
	const diedAt = network.now;
	for (let index = 0; index < 48; index += 3) {
		network.kill(`split-entry-${index}`);
	}

	const ownedAgain = network.runUntil(() => {
		const owned = network.running().flatMap(({node}) => node.loadGossip.owned());
		return owned.length === endpoints.length && new Set(owned).size === owned.length;
	}, limitMilliseconds);
	network.run(2000);
	const events = network.running().flatMap(peer => peer.events).filter(({at}) => at >= diedAt);
	const failureEvents = events.filter(({text}) => text.endsWith(' gone'));
	return {
		ownedAgain,
		firstGone: Math.min(...failureEvents.map(({at}) => at)) - diedAt,
		lastGone: Math.max(...failureEvents.map(({at}) => at)) - diedAt,
		live: network.running()[0]!.node.membership.ownLive().length,
		calledGoneWrongly: failureEvents.filter(({text}) => network.peers.get(text.split(' ')[0]!)!.state === 'running').length,
		mostTableReadsPerSecond: platform.maxReadsPerSecond(platform.reads, diedAt),
		timeLine: timeLineOf(events, diedAt),
	};
}

function timeLineOf(events: VirtualPeer['events'], from: number): ThirdKilled['timeLine'] {
	const slotMilliseconds = 250;
	const slots = new Map<number, {gone: number; taken: number}>();
	for (const {at, text} of events) {
		const slot = Math.floor((at - from) / slotMilliseconds) * slotMilliseconds;
		const counts = slots.get(slot) ?? {gone: 0, taken: 0};
		counts.gone += text.endsWith(' gone') ? 1 : 0;
		counts.taken += Number(/took (?<taken>\d+)/v.exec(text)?.groups?.taken ?? 0);
		slots.set(slot, counts);
	}

	return [...slots].toSorted(([left], [right]) => left - right).map(([at, counts]) => ({at, ...counts}));
}

/** The effects of an isolation; times are in milliseconds since its end. */
export type CutOff = {
	versionInside: number;
	versionOutside: number;
	membersInside: number;
	ownedInside: number;
	newestAgain: number | undefined;
	membersAgain: number | undefined;
};

/** Isolates one of three data centres from the others and from the platform for two minutes; changes continue outside. */
export function playCut(seed: number): CutOff {
	const inside = namesOf(4, 'trogir');
	const endpoints = [...endpointsOf(6, 'split'), ...endpointsOf(6, 'trogir'), ...endpointsOf(5, 'makarska')];
	const network = new VirtualPeers(seed);
	const platform = new VirtualPlatform(network, endpoints);
	network.startAll([...namesOf(6, 'split'), ...inside, ...namesOf(5, 'makarska')], endpoints);
	platform.accept();
	network.run(settleMilliseconds);
	network.cut(inside.map(({name}) => name), 'alone');
	for (let minute = 0; minute < 2; minute++) {
		network.run(60_000);
		platform.accept();
	}

	network.run(3000);
	const cutPeers = inside.map(({name}) => network.peers.get(name)!);
	const outcome = {
		versionInside: cutPeers[0]!.configuration.state.version,
		versionOutside: platform.version,
		membersInside: cutPeers[0]!.node.membership.allLive().length,
		ownedInside: cutPeers.reduce((sum, {node}) => sum + node.loadGossip.owned().filter(name => name.startsWith('trogir')).length, 0),
	};
	network.cut(inside.map(({name}) => name), '');
	const endedAt = network.now;
	const newestAgain = network.runUntil(() => cutPeers.every(({configuration}) => configuration.state.version === platform.version), limitMilliseconds);
	const isEveryMemberSeen = (): boolean => network.running().every(({node}) => node.membership.allLive().length === 15);
	const membersAgain = network.runUntil(isEveryMemberSeen, limitMilliseconds);
	return {...outcome, newestAgain, membersAgain: membersAgain === undefined ? undefined : network.now - endedAt};
}

/** The effects of an outage of the platform. */
export type Outage = {
	readsPerSecondBefore: number;
	readsPerSecondDuring: number;
	mostReadsPerSecondAfter: number;
	mostListReadsPerSecondAfter: number;
	newestAfter: number | undefined;
	liveDuring: number;
};

/** Simulates an outage of the platform for 30 instances; when it ends, a change is accepted. */
export function playOutage(seed: number, minutes: number): Outage {
	const network = new VirtualPeers(seed);
	network.stepMilliseconds = 25;
	const platform = new VirtualPlatform(network, []);
	const peers = network.startAll(namesOf(30, 'split'));
	network.run(60_000);
	const readsPerSecondBefore = platform.reads.filter(at => at > network.now - 30_000).length / 30;
	platform.isDown = true;
	network.run(minutes * 60_000);
	const readsPerSecondDuring = platform.reads.filter(at => at > network.now - 30_000).length / 30;
	const liveDuring = Math.min(...peers.map(({node}) => node.membership.ownLive().length));
	platform.isDown = false;
	const backAt = network.now;
	platform.accept();
	const newestAfter = network.runUntil(() => peers.every(({configuration}) => configuration.state.version === 1), limitMilliseconds);
	network.run(20_000);
	return {
		readsPerSecondBefore,
		readsPerSecondDuring,
		mostReadsPerSecondAfter: platform.maxReadsPerSecond(platform.reads, backAt),
		mostListReadsPerSecondAfter: platform.maxReadsPerSecond(platform.listReads, backAt),
		newestAfter,
		liveDuring,
	};
}
