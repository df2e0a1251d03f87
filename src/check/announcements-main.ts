/**
 * `npm run check:announcements -- --seed N --seeds M`: checks over real gateway processes that instances act on what endpoints
 * say in their answers, that they leave or that they need a rest, for M seeds from N on.
 */
import process from 'node:process';
import {Command} from 'commander';
import {type Announcement, runAnnouncingEndpoints} from './announcing-endpoints-over-processes.js';

/** Arrivals that an endpoint allows from one instance within a rest. */
const allowedInRest = 2;

const command = new Command('check:announcements')
	.option('--seed <number>', 'first seed', '1')
	.option('--seeds <number>', 'number of seeds', '1')
	.option('--seconds <number>', 'length of a run', '16')
	.option('--network <number>', 'second byte of the loopback addresses, for runs at the same time', '45')
	.parse();
const options: {seed: string; seeds: string; seconds: string; network: string} = command.opts();
let violations = 0;
for (let seed = Number(options.seed); seed < Number(options.seed) + Number(options.seeds); seed++) {
	for (const announcement of ['leaving', 'rest'] satisfies Announcement[]) {
		const report = await runAnnouncingEndpoints({
			seed, network: Number(options.network), milliseconds: Number(options.seconds) * 1000, announcement,
		});
		console.log(JSON.stringify(report));
		violations += report.late > 0 || report.mostInRest > allowedInRest ? 1 : 0;
	}
}

process.exitCode = violations === 0 ? 0 : 1;
