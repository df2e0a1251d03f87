/** `npm run check:processes -- --seed N --bookings M`: bookings over real processes under kills, pauses and lost answers. */
import process from 'node:process';
import {Command} from 'commander';
import {runBookings} from './bookings-over-processes.js';

const command = new Command('check:processes')
	.option('--seed <number>', 'seed of the faults', '1')
	.option('--bookings <number>', 'how many bookings', '200')
	.parse();
const options: {seed: string; bookings: string} = command.opts();
const report = await runBookings({bookings: Number(options.bookings), seed: Number(options.seed)});
console.log(JSON.stringify(report));
const {duplicateRuns, falseNotRun, crossedAnswers, answeredButNotRun, withoutFinalWord} = report;
process.exitCode = duplicateRuns + falseNotRun + crossedAnswers + answeredButNotRun + withoutFinalWord === 0 ? 0 : 1;
