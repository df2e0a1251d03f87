/**
 * `npm run check:unframed -- --disturbance NAME --seed N --seeds M`: checks over real gateway processes that answers with neither
 * a length nor chunks are marked as complete where they are and only there, for M seeds from N on.
 */
import process from 'node:process';
import {Command, Option} from 'commander';
import {
	runUnframedAnswers, unframedDisturbances, unframedFindings, type UnframedDisturbance,
} from './unframed-answers-over-processes.js';

const command = new Command('check:unframed')
	.addOption(new Option('--disturbance <name>', 'what is wrong beside the endpoints').choices(unframedDisturbances).default('none'))
	.option('--seed <number>', 'first seed', '1')
	.option('--seeds <number>', 'number of seeds', '1')
	.option('--rate <number>', 'requests a second', '60')
	.option('--broken <number>', 'answers in a hundred that their endpoint does not complete', '10')
	.option('--seconds <number>', 'length of a run', '10')
	.option('--network <number>', 'second byte of the loopback addresses, for runs at the same time', '82')
	.parse();
const options: {disturbance: UnframedDisturbance} & Record<'seed' | 'seeds' | 'rate' | 'broken' | 'seconds' | 'network', string> = command.opts();
let hasFindings = false;
for (let seed = Number(options.seed); seed < Number(options.seed) + Number(options.seeds); seed++) {
	const report = await runUnframedAnswers({
		seed,
		network: Number(options.network),
		milliseconds: Number(options.seconds) * 1000,
		requestsPerSecond: Number(options.rate),
		brokenPercent: Number(options.broken),
		disturbance: options.disturbance,
	});
	const found = unframedFindings(report);
	console.log(JSON.stringify({...report, found}));
	hasFindings ||= Object.keys(found).length > 0;
}

process.exitCode = hasFindings ? 1 : 0;
