/**
 * `npm run check:skew -- --scope SCOPE --disturbance NAME --endpoints KIND --seed N --seeds M`: checks over real gateway
 * processes that requests are served while most new connections go to one instance, for M seeds from N on.
 */
import process from 'node:process';
import {Command, Option} from 'commander';
import {type SkewScope} from './load-balancer.js';
import {
	runSkewedConnections, skewDisturbances, skewFindings, type SkewDisturbance,
} from './skewed-connections-over-processes.js';
import {endpointKinds, type EndpointKind} from './skewed-endpoints.js';

const command = new Command('check:skew')
	.addOption(new Option('--scope <name>', 'whose new connections are skewed').choices(['data-centre', 'all']).default('all'))
	.addOption(new Option('--disturbance <name>', 'what is wrong beside the skew').choices(skewDisturbances).default('none'))
	.addOption(new Option('--endpoints <kind>', 'what the endpoints are like').choices(endpointKinds).default('plain'))
	.option('--seed <number>', 'first seed', '1')
	.option('--seeds <number>', 'number of seeds', '1')
	.option('--rate <number>', 'requests a second before connections are skewed', '60')
	.option('--factor <number>', 'how many times as many come while they are', '3.5')
	.option('--seconds <number>', 'how long they are skewed', '9')
	.option('--share <number>', 'share of its processor time that a slow instance has', '0.25')
	.option('--work <number>', 'milliseconds for which a request holds a slot of a brittle endpoint', '500')
	.option('--network <number>', 'second byte of the loopback addresses, for runs at the same time', '80')
	.parse();
type NumberOption = 'seed' | 'seeds' | 'rate' | 'factor' | 'seconds' | 'share' | 'work' | 'network';
const options: {scope: SkewScope; disturbance: SkewDisturbance; endpoints: EndpointKind} & Record<NumberOption, string> = command.opts();
let findings = 0;
for (let seed = Number(options.seed); seed < Number(options.seed) + Number(options.seeds); seed++) {
	const {scope, disturbance, endpoints} = options;
	const report = await runSkewedConnections({
		seed,
		network: Number(options.network),
		scope,
		disturbance,
		endpoints,
		requestsPerSecond: Number(options.rate),
		factor: Number(options.factor),
		skewMilliseconds: Number(options.seconds) * 1000,
		processorShare: Number(options.share),
		brittleWorkMilliseconds: Number(options.work),
	});
	const found = skewFindings(report);
	console.log(JSON.stringify({...report, found}));
	findings += found.length;
}

process.exitCode = findings === 0 ? 0 : 1;
