/**
 * `npm run bench:weigh -- fanout`: compares strategies to distribute configuration changes among the 95 instances of a data
 * centre, in virtual time: pushing to all neighbours, and announcing and querying with and without a random delay before
 * the query. Each is run with and without lost messages.
 */
import {type FanoutMode} from '../../peer/configuration/configuration-fanout.js';
import {changeOf} from '../bench-changes.js';
import {VirtualPeers} from '../virtual-peers.js';

const daemons = 95;
const changes = 20;
const betweenChangesMilliseconds = 3000;
const settleMilliseconds = 12_000;
const limitMilliseconds = 20_000;

/** One strategy to distribute changes, and the network that it is tested on. */
export type FanoutStrategy = {mode: FanoutMode; backoffMilliseconds: number; loss: number; latencyMilliseconds: number};

/** The cost of a strategy per daemon and change, and the times until a change is in force everywhere. */
export type FanoutCost = {
	bytesPerChange: number;
	messagesPerChange: number;
	asksPerChange: number;
	duplicatesPerChange: number;
	middleMilliseconds: number;
	slowestMilliseconds: number;
};

/**
 * Simulates one strategy.
 *
 * @param strategy - The strategy and the network.
 * @param seed - Seed of all random choices.
 * @returns Its cost, without the heartbeats, which are measured in an idle run and subtracted.
 */
export function playFanout(strategy: FanoutStrategy, seed: number): FanoutCost {
	const idle = simulate(strategy, seed, 0);
	const busy = simulate(strategy, seed, changes);
	const perChange = (value: number): number => value / daemons / changes;
	const times = busy.times.toSorted((left, right) => left - right);
	return {
		bytesPerChange: perChange(busy.bytes - idle.bytes),
		messagesPerChange: perChange(busy.messages - idle.messages),
		asksPerChange: perChange(busy.asks),
		duplicatesPerChange: perChange(busy.duplicates),
		middleMilliseconds: times[Math.floor(times.length / 2)]!,
		slowestMilliseconds: times.at(-1)!,
	};
}

function simulate(strategy: FanoutStrategy, seed: number, count: number): {bytes: number; messages: number; asks: number; duplicates: number; times: number[]} {
	const network = new VirtualPeers(seed, strategy.mode, strategy.backoffMilliseconds);
	network.latencyMilliseconds = strategy.latencyMilliseconds;
	const peers = network.startAll(Array.from({length: daemons}, (_, index) => ({name: `entry-${index}`, dataCentre: 'split'})));
	network.run(settleMilliseconds);
	network.loss = strategy.loss;
	const sum = (value: (peer: typeof peers[number]) => number): number => peers.reduce((total, peer) => total + value(peer), 0);
	const before = {bytes: sum(({bytesOut}) => bytesOut), messages: sum(({messagesOut}) => messagesOut)};
	const times: number[] = [];
	for (let version = 1; version <= changes; version++) {
		const startedAt = network.now;
		if (version <= count) {
			const reader = peers[version % 2]!;
			const change = changeOf(reader.configuration.state, version);
			reader.configuration.offerChange(change);
			network.send(reader, reader.node.announceChange(change));
			times.push(network.runUntil(() => peers.every(({configuration}) => configuration.state.version === version), limitMilliseconds) ?? limitMilliseconds);
		}

		network.run(Math.max(0, startedAt + betweenChangesMilliseconds - network.now));
	}

	return {
		bytes: sum(({bytesOut}) => bytesOut) - before.bytes,
		messages: sum(({messagesOut}) => messagesOut) - before.messages,
		asks: sum(({node}) => node.fanout.counts.queries),
		duplicates: sum(({node}) => node.fanout.counts.duplicates),
		times,
	};
}
