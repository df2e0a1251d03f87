/** `npm run bench:weigh`: plays the ways that docs/MEMBERSHIP.md and docs/KNOWLEDGE.md weigh, and prints their figures. */
import process from 'node:process';
import {type FanoutWay, playFanout} from './fanout.js';
import {bytesOf, type KnowledgeWay, playKnowledge} from './knowledge.js';

const seeds = [1, 2];
const wanted = process.argv[2];

function shown(values: Record<string, number>): string {
	return Object.entries(values).map(([name, value]) => `${name} ${value.toFixed(2)}`).join(', ');
}

if (wanted === undefined || wanted === 'fanout') {
	const ways: FanoutWay[] = [];
	for (const loss of [0, 0.02]) {
		for (const [mode, backoffMilliseconds] of [['push', 0], ['announce', 0], ['announce', 20], ['announce', 100]] as const) {
			ways.push({
				mode, backoffMilliseconds, loss, latencyMilliseconds: 1,
			});
		}
	}

	for (const way of ways) {
		console.log(`fanout ${way.mode}, wait up to ${way.backoffMilliseconds} ms, ${way.loss * 100}% lost, seed 1: ${shown(playFanout(way, 1))}`);
	}
}

if (wanted === undefined || wanted === 'knowledge') {
	for (const way of ['perfect', 'all', 'all-two', 'cell', 'cell-two', 'ask-two', 'none'] satisfies KnowledgeWay[]) {
		for (const seed of seeds) {
			console.log(`knowledge ${way}, seed ${seed}: ${shown(playKnowledge(way, seed))}, bytes a second one way ${bytesOf(way).toFixed(0)}`);
		}
	}
}
