/**
 * `npm run check:crashes -- --seed N --seeds M`: checks over real gateway processes that a request which crashes its endpoints
 * is kept from them, for M seeds from N on.
 */
import process from 'node:process';
import {Command} from 'commander';
import {allowedLateArrivals, runCrashingRequests} from './crashing-requests-over-processes.js';

const command = new Command('check:crashes')
	.option('--seed <number>', 'first seed', '1')
	.option('--seeds <number>', 'number of seeds', '1')
	.option('--seconds <number>', 'length of a run', '15')
	.option('--network <number>', 'second byte of the loopback addresses, for runs at the same time', '30')
	.parse();
const options: {seed: string; seeds: string; seconds: string; network: string} = command.opts();
let violations = 0;
for (let seed = Number(options.seed); seed < Number(options.seed) + Number(options.seeds); seed++) {
	const report = await runCrashingRequests({seed, network: Number(options.network), milliseconds: Number(options.seconds) * 1000});
	console.log(JSON.stringify(report));
	violations += report.wronglyBlocked.length + Object.values(report.lateArrivals).filter(late => late > allowedLateArrivals).length;
}

process.exitCode = violations === 0 ? 0 : 1;
