/**
 * `npm run check:stopped -- --route ROUTE --queue QUEUE --seed N --seeds M`: checks over real gateway processes that no answer
 * ends early while the processes of sound endpoints are stopped and go on, for M seeds from N on.
 */
import process from 'node:process';
import {Command, Option} from 'commander';
import {type SilentRoute, silentRoutes} from './silent-routes.js';
import {violationsOf} from './silent-work.js';
import {type ConnectionQueue, connectionQueues} from './stoppable-endpoint.js';
import {runStoppedEndpoints} from './stopped-endpoints-over-processes.js';

const command = new Command('check:stopped')
	.addOption(new Option('--route <name>', 'the kind of requests').choices(silentRoutes).default('prompt-resumable'))
	.addOption(new Option('--queue <kind>', 'what new connections meet while an endpoint is stopped').choices(connectionQueues).default('full'))
	.option('--seed <number>', 'first seed', '1')
	.option('--seeds <number>', 'number of seeds', '1')
	.option('--seconds <number>', 'length of a run', '13')
	.option('--rate <number>', 'requests a second', '25')
	.option('--share <number>', 'share of the endpoints that are stopped at a time', '1')
	.option('--silence <number>', 'milliseconds of the shortest stop', '1900')
	.option('--silence-to <number>', 'milliseconds of the longest stop, if it is longer')
	.option('--pieces <number>', 'stops in a row, a quarter of a second apart', '1')
	.option('--connections <number>', 'connections that an endpoint has at most; it resets others', 'Infinity')
	.option('--expires', 'rows of endpoints expire while they are stopped', false)
	.option('--kept', 'callers keep their connections', false)
	.option('--network <number>', 'second byte of the loopback addresses, for runs at the same time', '130')
	.parse();
const options: {
	route: SilentRoute; queue: ConnectionQueue; silenceTo?: string; expires: boolean; kept: boolean;
} & Record<'seed' | 'seeds' | 'seconds' | 'rate' | 'share' | 'silence' | 'pieces' | 'connections' | 'network', string> = command.opts();
let hasViolations = false;
for (let seed = Number(options.seed); seed < Number(options.seed) + Number(options.seeds); seed++) {
	const report = await runStoppedEndpoints({
		seed,
		network: Number(options.network),
		milliseconds: Number(options.seconds) * 1000,
		route: options.route,
		requestsPerSecond: Number(options.rate),
		silenceMilliseconds: [Number(options.silence), Number(options.silenceTo ?? options.silence)],
		queue: options.queue,
		stoppedShare: Number(options.share),
		pieces: Number(options.pieces),
		connectionLimit: Number(options.connections),
		expires: options.expires,
		keepsConnections: options.kept,
	});
	console.log(JSON.stringify(report));
	hasViolations ||= Object.keys(violationsOf(report)).length > 0;
}

process.exitCode = hasViolations ? 1 : 0;
