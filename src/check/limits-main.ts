/**
 * `npm run check:limits -- --seed N --seeds M`: checks over real gateway processes that endpoints which name a limit get no
 * more than it allows, for M seeds from N on.
 */
import process from 'node:process';
import {Command} from 'commander';
import {runLimitedEndpoints} from './limited-endpoints-over-processes.js';

const command = new Command('check:limits')
	.option('--seed <number>', 'first seed', '1')
	.option('--seeds <number>', 'number of seeds', '1')
	.option('--seconds <number>', 'length of a run', '18')
	.option('--network <number>', 'second byte of the loopback addresses, for runs at the same time', '35')
	.parse();
const options: {seed: string; seeds: string; seconds: string; network: string} = command.opts();
let violations = 0;
for (let seed = Number(options.seed); seed < Number(options.seed) + Number(options.seeds); seed++) {
	const report = await runLimitedEndpoints({seed, network: Number(options.network), milliseconds: Number(options.seconds) * 1000});
	console.log(JSON.stringify(report));
	violations += report.limited.filter(({most, allowed}) => most > allowed).length + report.forgotten.length + Object.values(report.grantors).filter(({length}) => length > 1).length;
}

process.exitCode = violations === 0 ? 0 : 1;
