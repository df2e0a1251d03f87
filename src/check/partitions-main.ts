/**
 * `npm run check:partitions -- --seed N --seeds M`: checks over real gateway processes that instances which are partitioned
 * from all endpoints serve their callers, for M seeds from N on.
 */
import process from 'node:process';
import {Command} from 'commander';
import {type PartitionConditions, runPartitionedInstances} from './partitioned-instances-over-processes.js';
import {partitionFindings} from './partition-findings.js';

const command = new Command('check:partitions')
	.option('--seed <number>', 'first seed', '1')
	.option('--seeds <number>', 'number of seeds', '1')
	.option('--seconds <number>', 'length of the partition', '12')
	.option('--part <name>', 'which instances are partitioned; drawn from the seed by default')
	.option('--state <name>', 'reset, hang or refuse; drawn from the seed by default')
	.option('--network <number>', 'second byte of the loopback addresses, for runs at the same time', '45')
	.parse();
const options: {seed: string; seeds: string; seconds: string; part?: PartitionConditions['part']; state?: PartitionConditions['state']; network: string} = command.opts();
let findings = 0;
for (let seed = Number(options.seed); seed < Number(options.seed) + Number(options.seeds); seed++) {
	const report = await runPartitionedInstances({
		seed,
		network: Number(options.network),
		partitionMilliseconds: Number(options.seconds) * 1000,
		conditions: {...options.part === undefined ? {} : {part: options.part}, ...options.state === undefined ? {} : {state: options.state}},
	});
	const found = partitionFindings(report);
	console.log(JSON.stringify({...report, found}));
	findings += found.length;
}

process.exitCode = findings === 0 ? 0 : 1;
