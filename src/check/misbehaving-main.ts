/** `npm run check:misbehaving -- --kind KIND`: checks over a real gateway process that a crowd of clients does not use it up. */
import process from 'node:process';
import {Command} from 'commander';
import {type CrowdKind, crowdKinds} from './crowd-requests.js';
import {runMisbehavingClients} from './misbehaving-clients-over-processes.js';

const command = new Command('check:misbehaving')
	.option('--kind <kind>', `${crowdKinds.join(', ')}, or all`, 'all')
	.option('--clients <number>', 'clients of each kind', '240')
	.option('--limit <number>', 'memory limit of the process in megabytes', '202')
	.option('--descriptors <number>', 'descriptors that the process may use', '400')
	.option('--body <number>', 'length of the longest body in bytes', '1000000')
	.option('--pressure', 'the settings say that callers compete for memory', false)
	.option('--seconds <number>', 'for how long the crowd sends', '8')
	.option('--network <number>', 'second byte of the loopback addresses, for runs at the same time', '51')
	.parse();
const options: {
	kind: CrowdKind | 'all'; clients: string; limit: string; descriptors: string; body: string; pressure: boolean; seconds: string; network: string;
} = command.opts();
const kinds = options.kind === 'all' ? crowdKinds : [options.kind];
const report = await runMisbehavingClients({
	network: Number(options.network),
	crowd: Object.fromEntries(kinds.map(kind => [kind, Number(options.clients)])),
	limitMegabytes: Number(options.limit),
	maxDescriptors: Number(options.descriptors),
	maxBodyBytes: Number(options.body),
	hasPressure: options.pressure,
	milliseconds: Number(options.seconds) * 1000,
});
console.log(JSON.stringify(report));
process.exitCode = report.hasEnded || report.peakMegabytes > Number(options.limit) || report.peakDescriptors > Number(options.descriptors) || report.ordinary !== 200 || report.brokenPromises > 0 ? 1 : 0;
