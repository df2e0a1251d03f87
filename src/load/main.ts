#!/usr/bin/env node
/** `savorygauge-load`: runs workloads in virtual time against policies and compares the results. */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {Command, InvalidArgumentError} from 'commander';
import {badUsageExitCode} from '../settings/read-settings.js';
import {programVersion} from '../shared/program-version.js';
import {comparePolicies} from './compare/compare-policies.js';
import {formatReport} from './compare/format-report.js';
import {formatTable} from './compare/format-table.js';
import {parseSeeds} from './parse-seeds.js';
import {policies} from './policies.js';
import {readWorkload} from './workload/read-workload.js';

const partialExitCode = 130;

type CompareOptions = {workload: string; policy: string[]; seeds: number[]; load: number; json: boolean; report?: string; quiet: boolean};

function addPolicy(name: string, names: string[] = []): string[] {
	if (policies[name] === undefined) {
		throw new InvalidArgumentError(`known policies are ${Object.keys(policies).join(', ')}.`);
	}

	return [...names, name];
}

function parseLoad(text: string): number {
	const factor = Number(text);
	if (!(factor > 0)) {
		throw new InvalidArgumentError('the load factor must be a number above 0.');
	}

	return factor;
}

async function compare(options: CompareOptions): Promise<void> {
	const stop = new AbortController();
	process.once('SIGINT', () => {
		stop.abort();
	});
	const comparison = {
		workload: readWorkload(options.workload), policies: options.policy, seeds: options.seeds, loadFactor: options.load,
	};
	const result = await comparePolicies(comparison, ({done, of, policy, seed}) => {
		if (!options.quiet) {
			process.stderr.write(`${done} of ${of} runs: ${policy}, seed ${seed}\n`);
		}
	}, stop.signal);
	process.stdout.write(`${options.json ? JSON.stringify(result) : formatTable(result)}\n`);
	if (options.report !== undefined) {
		writeFileSync(options.report, formatReport(result));
	}

	process.exitCode = result.isPartial ? partialExitCode : 0;
}

const program = new Command('savorygauge-load')
	.description('runs workloads in virtual time and compares policies')
	.version(programVersion)
	.exitOverride(error => {
		process.exit(error.exitCode === 0 ? 0 : badUsageExitCode);
	});
program.command('compare')
	.description('runs a workload in virtual time with each policy and seed, and prints the measures side by side')
	.requiredOption('--workload <file>', 'workload file; see workloads/')
	.requiredOption('--policy <name>', `policy to run; may be repeated: ${Object.keys(policies).join(', ')}`, addPolicy)
	.option('--seeds <seeds>', '3, 1..10 or 1,4,9', parseSeeds, [1])
	.option('--load <factor>', 'factor by which the request rates of the file are multiplied', parseLoad, 1)
	.option('--json', 'print one JSON object', false)
	.option('--report <file>', 'also write an HTML page with charts')
	.option('--quiet', 'print no progress on standard error', false)
	.action(compare);

await program.parseAsync();
