/**
 * `npm run check:brittle -- --seed N --seeds M --rate R`: checks over real gateway processes that brittle endpoints do not fall
 * over, for M seeds from N on.
 */
import process from 'node:process';
import {Command} from 'commander';
import {runBrittleEndpoints} from './brittle-endpoints-over-processes.js';

const command = new Command('check:brittle')
	.option('--seed <number>', 'first seed', '1')
	.option('--seeds <number>', 'number of seeds', '1')
	.option('--rate <number>', 'requests a second', '115')
	.option('--slots <number>', 'requests that an endpoint runs at a time', '16')
	.option('--seconds <number>', 'length of the counted time', '9')
	.option('--kill-coordinator', 'kill the coordinator within that time')
	.option('--network <number>', 'second byte of the loopback addresses, for runs at the same time', '55')
	.parse();
const options: {seed: string; seeds: string; rate: string; slots: string; seconds: string; killCoordinator?: boolean; network: string} = command.opts();
let violations = 0;
for (let seed = Number(options.seed); seed < Number(options.seed) + Number(options.seeds); seed++) {
	const report = await runBrittleEndpoints({
		seed,
		network: Number(options.network),
		requestsPerSecond: Number(options.rate),
		slots: Number(options.slots),
		milliseconds: Number(options.seconds) * 1000,
		isCoordinatorKilled: options.killCoordinator ?? false,
	});
	console.log(JSON.stringify(report));
	violations += report.falls > report.allowedFalls ? 1 : 0;
}

process.exitCode = violations === 0 ? 0 : 1;
