/** `npm run check:endless -- --limit N`: checks over a real gateway process that bytes without an end do not fill N MB of memory. */
import process from 'node:process';
import {Command} from 'commander';
import {runEndlessBytes} from './endless-bytes-over-processes.js';

const command = new Command('check:endless')
	.option('--limit <number>', 'memory limit of the process in megabytes', '272')
	.option('--seconds <number>', 'length of a run', '8')
	.option('--network <number>', 'second byte of the loopback addresses, for runs at the same time', '50')
	.parse();
const options: {limit: string; seconds: string; network: string} = command.opts();
const report = await runEndlessBytes({network: Number(options.network), limitMegabytes: Number(options.limit), milliseconds: Number(options.seconds) * 1000});
console.log(JSON.stringify(report));
process.exitCode = report.hasEnded || report.peakMegabytes > Number(options.limit) || report.served < report.sound ? 1 : 0;
