/**
 * `npm run check:versions -- --seed N --seeds M`: checks over real gateway processes that streams go on only at the software
 * version that began them, for M seeds from N on. Conditions that are not given are drawn from the seed.
 */
import process from 'node:process';
import {Command, Option} from 'commander';
import {type ReturnPlace, returnPlaces} from './resuming-callers.js';
import {
	runStreamVersions, type VersionDisturbance, versionDisturbances, type VersionSpread, versionSpreads, violationsOf,
} from './stream-versions-over-processes.js';

const command = new Command('check:versions')
	.option('--seed <number>', 'first seed', '1')
	.option('--seeds <number>', 'number of seeds', '1')
	.option('--seconds <number>', 'length of a run', '12')
	.addOption(new Option('--spread <spread>', 'which endpoints have the new version').choices(versionSpreads))
	.addOption(new Option('--disturbance <disturbance>', 'what happens beside broken streams').choices(versionDisturbances))
	.addOption(new Option('--returns-to <place>', 'which other instances callers come back to').choices(returnPlaces))
	.option('--caller-seconds <number>', 'the whole time of a caller, over all of its tries')
	.option('--breaks <percent>', 'share of the streams that their endpoint breaks off')
	.option('--network <number>', 'second byte of the loopback addresses, for runs at the same time', '90')
	.parse();
const options: {
	seed: string; seeds: string; seconds: string; network: string; spread?: VersionSpread; disturbance?: VersionDisturbance; breaks?: string; returnsTo?: ReturnPlace; callerSeconds?: string;
} = command.opts();
const conditions = {
	...(options.spread === undefined ? {} : {spread: options.spread}),
	...(options.disturbance === undefined ? {} : {disturbance: options.disturbance}),
	...(options.returnsTo === undefined ? {} : {returnsTo: options.returnsTo}),
	...(options.callerSeconds === undefined ? {} : {callerMilliseconds: Number(options.callerSeconds) * 1000}),
	...(options.breaks === undefined ? {} : {breakPercent: Number(options.breaks)}),
};
for (let seed = Number(options.seed); seed < Number(options.seed) + Number(options.seeds); seed++) {
	const report = await runStreamVersions({
		seed, network: Number(options.network), milliseconds: Number(options.seconds) * 1000, conditions,
	});
	const violations = violationsOf(report);
	console.log(JSON.stringify({...report, violations}));
	process.exitCode = violations.length > 0 ? 1 : process.exitCode ?? 0;
}
