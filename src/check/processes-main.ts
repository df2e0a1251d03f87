/**
 * `npm run check:processes -- --seed N --bookings M --changes K`: checks bookings over real processes under kills, pauses
 * and lost answers, and configuration changes under restarts and cut connections to the table.
 */
import process from 'node:process';
import {Command} from 'commander';
import {formatRun, runConfigurationChanges} from './configuration-over-processes.js';
import {runBookings} from './bookings-over-processes.js';

const command = new Command('check:processes')
	.option('--seed <number>', 'seed of the faults', '1')
	.option('--bookings <number>', 'number of bookings', '200')
	.option('--changes <number>', 'number of restarts and cut connections, each followed by a configuration change', '50')
	.parse();
const options: {seed: string; bookings: string; changes: string} = command.opts();
const report = await runBookings({bookings: Number(options.bookings), seed: Number(options.seed)});
console.log(JSON.stringify(report));
const {duplicateRuns, falseNotRun, crossedAnswers, answeredButNotRun, withoutFinalWord} = report;
const {traces, events, ownLags, ...configuration} = await runConfigurationChanges({faults: Number(options.changes), seed: Number(options.seed)});
console.log(JSON.stringify(configuration));
if (configuration.late + configuration.wentBack > 0) {
	console.log(formatRun({traces, events, ownLags}));
}

const violations = duplicateRuns + falseNotRun + crossedAnswers + answeredButNotRun + withoutFinalWord + configuration.late + configuration.wentBack;
process.exitCode = violations === 0 ? 0 : 1;
