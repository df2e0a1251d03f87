/**
 * `npm run check:processes -- --seed N --bookings M --changes K`: bookings over real processes under kills, pauses and
 * lost answers, then configuration changes under restarts and cuts.
 */
import process from 'node:process';
import {Command} from 'commander';
import {runConfigurationChanges} from './configuration-over-processes.js';
import {runBookings} from './bookings-over-processes.js';

const command = new Command('check:processes')
	.option('--seed <number>', 'seed of the faults', '1')
	.option('--bookings <number>', 'how many bookings', '200')
	.option('--changes <number>', 'how many restarts and cuts under configuration changes', '50')
	.parse();
const options: {seed: string; bookings: string; changes: string} = command.opts();
const report = await runBookings({bookings: Number(options.bookings), seed: Number(options.seed)});
console.log(JSON.stringify(report));
const {duplicateRuns, falseNotRun, crossedAnswers, answeredButNotRun, withoutFinalWord} = report;
const configuration = await runConfigurationChanges({faults: Number(options.changes), seed: Number(options.seed)});
console.log(JSON.stringify(configuration));
const broken = duplicateRuns + falseNotRun + crossedAnswers + answeredButNotRun + withoutFinalWord + configuration.late + configuration.wentBack;
process.exitCode = broken === 0 ? 0 : 1;
