/**
 * `npm run check:slow -- --first-byte MS --silence MS`: checks over real gateway processes that requests to endpoints which are
 * slow, or silent for a moment, are served.
 */
import process from 'node:process';
import {Command} from 'commander';
import {runSlowEndpoints} from './slow-endpoints-over-processes.js';

const command = new Command('check:slow')
	.option('--seed <number>', 'seed', '1')
	.option('--first-byte <number>', 'milliseconds to the first byte of an answer', '1000')
	.option('--silence <number>', 'milliseconds for which endpoints fall silent, one after the other', '0')
	.option('--seconds <number>', 'length of the run', '10')
	.option('--network <number>', 'second byte of the loopback addresses, for runs at the same time', '65')
	.parse();
const options: {seed: string; firstByte: string; silence: string; seconds: string; network: string} = command.opts();
const report = await runSlowEndpoints({
	seed: Number(options.seed),
	network: Number(options.network),
	firstByteMilliseconds: Number(options.firstByte),
	silenceMilliseconds: Number(options.silence),
	milliseconds: Number(options.seconds) * 1000,
});
console.log(JSON.stringify(report));
process.exitCode = report.served < 0.98 * report.sent ? 1 : 0;
