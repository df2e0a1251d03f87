/** `npm run check:faults -- --seed N --runs M`: runs every scenario with M seeds, from seed N on, and prints violations. */
import process from 'node:process';
import {Command} from 'commander';
import {runSeed} from './scenario.js';
import {scenarios} from './scenarios.js';

const command = new Command('check:faults')
	.option('--seed <number>', 'first seed; run k uses seed + k', '1')
	.option('--runs <number>', 'number of runs of each scenario', '1000')
	.option('--scenario <name>', 'run only this scenario')
	.parse();
const options: {seed: string; runs: string; scenario?: string} = command.opts();
const firstSeed = Number(options.seed);
const runs = Number(options.runs);
let total = 0;
let failedRuns = 0;
for (const make of scenarios) {
	const {name} = make();
	if (options.scenario !== undefined && options.scenario !== name) {
		continue;
	}

	let violations = 0;
	for (let run = 0; run < runs; run++) {
		const failing = await runSeed(make, firstSeed + run);
		if (failing !== undefined) {
			violations++;
			if (violations === 1) {
				console.log(`${name}: seed ${failing.seed} failed: ${failing.violations.join('; ')}`);
				console.log(failing.trace.join('\n'));
			}
		}
	}

	total += runs;
	failedRuns += violations;
	console.log(`${name}: ${runs} runs from seed ${firstSeed}, ${violations} with violations`);
}

console.log(`${total} runs, ${failedRuns} with violations`);
process.exitCode = failedRuns === 0 && total > 0 ? 0 : 1;
