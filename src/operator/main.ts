#!/usr/bin/env node
/** `savorygauge`: the operators' command line. */
import process from 'node:process';
import {userInfo} from 'node:os';
import {Command} from 'commander';
import {addSettingFlags, badUsageExitCode, readSettingsOrExit} from '../settings/read-settings.js';
import {programVersion} from '../shared/program-version.js';
import {
	type CommandOutput, runApply, runCheck, runHistory, runPlan, runShow,
} from './declaration-commands.js';
import {OperatorClient} from './operator-client.js';
import {operatorSettingDefinitions} from './operator-settings.js';

const output: CommandOutput = {
	line(text) {
		console.log(text);
	},
	problem(text) {
		console.error(text);
	},
};

const program = new Command('savorygauge')
	.description('Checks, plans and applies declarations, and shows what is in force.')
	.version(programVersion)
	.exitOverride(error => {
		process.exit(error.exitCode === 0 ? 0 : badUsageExitCode);
	});
addSettingFlags(program, operatorSettingDefinitions);

const clientOf = (): OperatorClient => {
	const settings = readSettingsOrExit(program, operatorSettingDefinitions);
	return new OperatorClient(settings.operatorAddress, settings.operatorKey);
};

const finish = async (work: Promise<number>): Promise<void> => {
	try {
		process.exitCode = await work;
	} catch (error) {
		output.problem((error as Error).message);
		process.exitCode = 1;
	}
};

program.command('check <file...>')
	.description('check declaration files; all findings are reported with file, line and column')
	.action(async (files: string[]) => finish(runCheck(files, output)));
program.command('plan <file...>')
	.description('show what applying the files would change')
	.action(async (files: string[]) => finish(runPlan(files, clientOf(), output)));
program.command('apply <file...>')
	.description('bring the files into force, unless others changed something since the plan')
	.requiredOption('--reason <text>', 'why; it stands in the history')
	.option('--author <name>', 'who', userInfo().username)
	.option('--against <version>', 'version that the plan was made against')
	.action(async (files: string[], options: {reason: string; author: string; against?: string}) => finish(runApply(files, {
		author: options.author,
		reason: options.reason,
		...(options.against === undefined ? {} : {plannedAgainst: Number(options.against)}),
	}, clientOf(), output)));
program.command('history')
	.description('list all accepted changes')
	.action(async () => finish(runHistory(clientOf(), output)));
program.command('show <version>')
	.description('show one accepted change')
	.action(async (version: string) => finish(runShow(Number(version), clientOf(), output)));
await program.parseAsync();
