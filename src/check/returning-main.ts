/** `npm run measure:returning`: measures returning prompts over real processes without stores, with two, and with two that die. */
import {runReturningPrompts} from './returning-over-processes.js';

const rounds = 5;

for (const plan of [{rounds, stores: 0}, {rounds, stores: 2}, {rounds, stores: 2, storesDie: true}]) {
	const report = await runReturningPrompts(plan);
	console.log(JSON.stringify({...report, storesDie: plan.storesDie ?? false}));
}
