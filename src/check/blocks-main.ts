/**
 * `npm run check:blocks -- --case NAME --moment NAME --seed N --seeds M`: checks over real gateway processes that prompts with a block that
 * crashes engines are kept from them, for M seeds from N on.
 */
import process from 'node:process';
import {Command, Option} from 'commander';
import {
	type BlockCase, blockCases, type CrashMoment, crashMoments,
} from './crashing-block-conditions.js';
import {runCrashingBlocks} from './crashing-blocks-over-processes.js';

const command = new Command('check:blocks')
	.addOption(new Option('--case <name>', 'which blocks crash engines, and what else happens').choices(blockCases).default('middle'))
	.addOption(new Option('--moment <name>', 'how far the answer has come when an engine ends').choices(crashMoments).default('mixed'))
	.option('--seed <number>', 'first seed', '1')
	.option('--seeds <number>', 'number of seeds', '1')
	.option('--seconds <number>', 'length of a run', '20')
	.option('--network <number>', 'second byte of the loopback addresses, for runs at the same time', '75')
	.option('--trace <folder>', 'where to write log lines, and what engines and callers saw')
	.parse();
const options: {case: BlockCase; moment: CrashMoment; seed: string; seeds: string; seconds: string; network: string; trace?: string} = command.opts();
let hasViolations = false;
for (let seed = Number(options.seed); seed < Number(options.seed) + Number(options.seeds); seed++) {
	const report = await runCrashingBlocks({
		seed, network: Number(options.network), milliseconds: Number(options.seconds) * 1000, case: options.case, moment: options.moment, traceFolder: options.trace,
	});
	console.log(JSON.stringify(report));
	hasViolations ||= report.violations.length > 0;
}

process.exitCode = hasViolations ? 1 : 0;
