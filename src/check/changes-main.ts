/**
 * `npm run check:changes -- --beside NAMES --seed N --seeds M`: checks over real gateway processes that no request is lost beside
 * changes of the configuration and the named disturbances, for M seeds from N on.
 */
import process from 'node:process';
import {Command, Option} from 'commander';
import {runRequestsBesideChanges, violationsOf} from './configuration-changes-over-processes.js';
import {type Disturbance, disturbances} from './deployment-disturbances.js';

const command = new Command('check:changes')
	.addOption(new Option('--beside <names...>', 'what happens beside the changes').choices(disturbances).default([]))
	.option('--seed <number>', 'first seed', '1')
	.option('--seeds <number>', 'number of seeds', '1')
	.option('--seconds <number>', 'length of a run', '12')
	.option('--change <number>', 'milliseconds between two changes', '300')
	.option('--callers <number>', 'callers that keep their connections', '40')
	.option('--rate <number>', 'requests a second on new connections', '20')
	.option('--network <number>', 'second byte of the loopback addresses, for runs at the same time', '103')
	.parse();
const options: {beside: Disturbance[]; seed: string; seeds: string; seconds: string; change: string; callers: string; rate: string; network: string} = command.opts();
let hasViolations = false;
for (let seed = Number(options.seed); seed < Number(options.seed) + Number(options.seeds); seed++) {
	const report = await runRequestsBesideChanges({
		seed,
		network: Number(options.network),
		milliseconds: Number(options.seconds) * 1000,
		changeMilliseconds: Number(options.change),
		keptCallers: Number(options.callers),
		newConnectionsPerSecond: Number(options.rate),
		disturbances: options.beside,
	});
	console.log(JSON.stringify(report));
	hasViolations ||= Object.keys(violationsOf(report)).length > 0;
}

process.exitCode = hasViolations ? 1 : 0;
