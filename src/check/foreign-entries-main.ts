/**
 * `npm run check:foreign-entries -- --seed N --seeds M`: checks over real gateway processes that entries of other programs in the
 * list of endpoints harm no request, for M seeds from N on.
 */
import process from 'node:process';
import {Command} from 'commander';
import {runForeignEntries} from './foreign-entries-over-processes.js';

const command = new Command('check:foreign-entries')
	.option('--seed <number>', 'first seed', '1')
	.option('--seeds <number>', 'number of seeds', '1')
	.option('--seconds <number>', 'length of a run', '8')
	.option('--network <number>', 'second byte of the loopback addresses, for runs at the same time', '46')
	.parse();
const options: {seed: string; seeds: string; seconds: string; network: string} = command.opts();
for (let seed = Number(options.seed); seed < Number(options.seed) + Number(options.seeds); seed++) {
	const report = await runForeignEntries({seed, network: Number(options.network), milliseconds: Number(options.seconds) * 1000});
	console.log(JSON.stringify({seed, ...report}));
	process.exitCode = report.ended.length > 0 || report.unanswered > 0 || report.stray > 0 ? 1 : process.exitCode ?? 0;
}
