/** Starts one stand-in as a separate process and prints its address as one JSON line. It is not part of the product. */
import process from 'node:process';
import {Command} from 'commander';
import {CacheStoreStandIn} from './cache-store-stand-in.js';
import {createInstanceListStandIn} from './instance-list-stand-in.js';
import {ModelEngineStandIn} from './model-engine-stand-in.js';
import {createObjectStoreStandIn} from './object-store-stand-in.js';
import {createPlainServiceStandIn} from './plain-service-stand-in.js';
import {startStandIn, type StandInDefinition} from './stand-in-server.js';
import {createTableServiceStandIn} from './table-service-stand-in.js';
import {createWeightStoreStandIn} from './weight-store-stand-in.js';

const defaultCapacityBytes = '67108864';

async function serve(definition: StandInDefinition, options: {host: string; port: string}): Promise<void> {
	const standIn = await startStandIn(definition, {host: options.host, port: Number(options.port)});
	process.once('SIGTERM', () => {
		process.exit(0);
	});
	console.log(JSON.stringify({ready: true, address: standIn.address}));
}

const program = new Command('savorygauge-stand-in')
	.option('--host <ip>', 'address to listen on', '127.0.0.1')
	.option('--port <number>', 'port to listen on; 0 selects a free one', '0');
const common = (): {host: string; port: string} => program.opts();

program.command('table').action(async () => serve(createTableServiceStandIn(), common()));
program.command('object').action(async () => serve(createObjectStoreStandIn(), common()));
program.command('weights').action(async () => serve(createWeightStoreStandIn(), common()));
program.command('list').action(async () => serve(createInstanceListStandIn(), common()));
program.command('plain').action(async () => serve(createPlainServiceStandIn(), common()));
program.command('cache')
	.option('--capacity-bytes <number>', 'capacity of the store, in bytes', defaultCapacityBytes)
	.action(async (options: {capacityBytes: string}) => serve(new CacheStoreStandIn(Number(options.capacityBytes)), common()));
program.command('engine')
	.requiredOption('--model <name>', 'model that it serves')
	.option('--weight-version <name>', 'weight version that it serves', 'w1')
	.option('--prefill-tokens-per-second <number>', 'prefill speed', '20000')
	.option('--milliseconds-per-token <number>', 'time between two generated tokens', '2')
	.option('--cache-pieces <number>', 'capacity of the prefix cache, in engine blocks of 512 tokens', '64')
	.option('--batch-limit <number>', 'maximum number of requests in a batch', '16')
	.action(async (options: Record<string, string>) => serve(new ModelEngineStandIn({
		model: options.model!,
		weightVersion: options.weightVersion!,
		prefillTokensPerSecond: Number(options.prefillTokensPerSecond),
		millisecondsPerToken: Number(options.millisecondsPerToken),
		cachePieces: Number(options.cachePieces),
		batchLimit: Number(options.batchLimit),
	}), common()));
await program.parseAsync();
