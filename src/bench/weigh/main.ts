/** `npm run bench:weigh`: runs the alternatives that docs/MEMBERSHIP.md and docs/KNOWLEDGE.md compare and prints their figures. */
import process from 'node:process';
import {runEntryKill} from './entry-kill-run.js';
import {runKill} from './kill-run.js';
import {runOutage} from './outage-run.js';
import {playCut, playOutage, playThirdKilled} from './failures.js';
import {type FanoutStrategy, playFanout} from './fanout.js';
import {
	bytesOf, type KnowledgeStrategy, playKnowledge, targetSize, todaySize,
} from './knowledge.js';

const seeds = [1, 2];
const wanted = process.argv[2];

function shown(values: Record<string, number>): string {
	return Object.entries(values).map(([name, value]) => `${name} ${value.toFixed(2)}`).join(', ');
}

if (wanted === undefined || wanted === 'fanout') {
	const strategies: FanoutStrategy[] = [];
	for (const loss of [0, 0.02]) {
		for (const [mode, backoffMilliseconds] of [['push', 0], ['announce', 0], ['announce', 20], ['announce', 100]] as const) {
			strategies.push({
				mode, backoffMilliseconds, loss, latencyMilliseconds: 1,
			});
		}
	}

	for (const strategy of strategies) {
		console.log(`fanout ${strategy.mode}, wait up to ${strategy.backoffMilliseconds} ms, ${strategy.loss * 100}% lost, seed 1: ${shown(playFanout(strategy, 1))}`);
	}
}

if (wanted === undefined || wanted === 'knowledge') {
	for (const strategy of ['perfect', 'all', 'all-two', 'none'] satisfies KnowledgeStrategy[]) {
		for (const seed of seeds) {
			console.log(`knowledge ${strategy}, today's size, seed ${seed}: ${shown(playKnowledge(strategy, todaySize, seed))}`);
		}
	}

	for (const strategy of ['perfect', 'all', 'all-two', 'cell', 'cell-two', 'ask-two', 'none'] satisfies KnowledgeStrategy[]) {
		for (const seed of seeds) {
			console.log(`knowledge ${strategy}, seed ${seed}: ${shown(playKnowledge(strategy, targetSize, seed))}, bytes a second one way ${bytesOf(strategy).toFixed(0)}`);
		}
	}
}

if (wanted === undefined || wanted === 'failures') {
	for (const seed of seeds) {
		const {timeLine, ...killed} = playThirdKilled(seed);
		console.log(`a third of 48 killed, seed ${seed}: ${JSON.stringify(killed)}`);
		for (const {at, gone, taken} of timeLine) {
			console.log(`  ${at} ms: ${gone} times called gone, ${taken} endpoints taken`);
		}
	}

	for (const seed of seeds) {
		console.log(`data centre cut off for two minutes, seed ${seed}: ${JSON.stringify(playCut(seed))}`);
	}

	console.log(`platform down for an hour, seed 1: ${JSON.stringify(playOutage(1, 60))}`);
}

if (wanted === undefined || wanted === 'kill') {
	const {timeLine, ...killed} = await runKill();
	console.log(`one of three processes of 16 daemons killed: ${JSON.stringify(killed)}`);
	for (const {at, owned, leastLive, mostLive} of timeLine) {
		console.log(`  ${at} ms: ${owned} endpoints owned, views of ${leastLive} to ${mostLive} live`);
	}
}

if (wanted === undefined || wanted === 'outage') {
	console.log(`table down for 10 s, real processes: ${JSON.stringify(await runOutage())}`);
}

if (wanted === undefined || wanted === 'entries') {
	console.log(`a third of 24 real entries killed: ${JSON.stringify(await runEntryKill())}`);
}
