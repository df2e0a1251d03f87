/**
 * `npm run check:silence -- --route ROUTE --seed N --seeds M`: checks over real gateway processes that no answer is lost while
 * sound endpoints fall silent and go on, for M seeds from N on.
 */
import process from 'node:process';
import {Command, Option} from 'commander';
import {runSilentEndpoints} from './silent-endpoints-over-processes.js';
import {type SilentRoute, silentRoutes} from './silent-routes.js';
import {violationsOf} from './silent-work.js';

const command = new Command('check:silence')
	.addOption(new Option('--route <name>', 'the kind of requests').choices(silentRoutes).default('prompt-resumable'))
	.option('--seed <number>', 'first seed', '1')
	.option('--seeds <number>', 'number of seeds', '1')
	.option('--seconds <number>', 'length of a run', '13.5')
	.option('--rate <number>', 'requests a second', '17')
	.option('--silence <number>', 'milliseconds of the shortest silence', '1600')
	.option('--silence-to <number>', 'milliseconds of the longest silence, if it is longer')
	.option('--at-a-time <number>', 'endpoints that fall silent at a time; 0 for single answers', '1')
	.option('--connections <number>', 'connections that an endpoint accepts from all instances together; 0 for any number', '0')
	.option('--network <number>', 'second byte of the loopback addresses, for runs at the same time', '100')
	.parse();
const options: {
	route: SilentRoute; seed: string; seeds: string; seconds: string; rate: string; silence: string; silenceTo?: string;
	atATime: string; connections: string; network: string;
} = command.opts();
let hasViolations = false;
for (let seed = Number(options.seed); seed < Number(options.seed) + Number(options.seeds); seed++) {
	const report = await runSilentEndpoints({
		seed,
		network: Number(options.network),
		milliseconds: Number(options.seconds) * 1000,
		route: options.route,
		requestsPerSecond: Number(options.rate),
		silenceMilliseconds: [Number(options.silence), Number(options.silenceTo ?? options.silence)],
		silentAtATime: Number(options.atATime),
		connectionLimit: Number(options.connections),
	});
	console.log(JSON.stringify(report));
	hasViolations ||= Object.keys(violationsOf(report)).length > 0;
}

process.exitCode = hasViolations ? 1 : 0;
