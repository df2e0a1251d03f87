/**
 * `npm run check:warm-ups -- --seed N --seeds M`: checks over real gateway processes that endpoints which warm up get no more
 * requests than they take, and evacuated data centres no new ones, for M seeds from N on.
 */
import process from 'node:process';
import {Command} from 'commander';
import {runWarmUps} from './warm-ups-over-processes.js';

const command = new Command('check:warm-ups')
	.option('--seed <number>', 'first seed', '1')
	.option('--seeds <number>', 'number of seeds', '1')
	.option('--rate <number>', 'requests a second', '60')
	.option('--seconds <number>', 'length of the disturbed time', '20')
	.option('--network <number>', 'second byte of the loopback addresses, for runs at the same time', '111')
	.parse();
const options: {seed: string; seeds: string; rate: string; seconds: string; network: string} = command.opts();
let violations = 0;
for (let seed = Number(options.seed); seed < Number(options.seed) + Number(options.seeds); seed++) {
	const report = await runWarmUps({
		seed, network: Number(options.network), requestsPerSecond: Number(options.rate), milliseconds: Number(options.seconds) * 1000,
	});
	console.log(JSON.stringify(report));
	violations += report.overBound + report.reachedEvacuated;
}

process.exitCode = violations === 0 ? 0 : 1;
