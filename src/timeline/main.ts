#!/usr/bin/env node
/** `savorygauge-timeline`: collects the events of all processes, prints them live, and draws the trace of a request. */
import process from 'node:process';
import {Command} from 'commander';
import {
	addSettingFlags, badUsageExitCode, checkSettings, exitWithFindings, findUnknownArguments, givenTextsOf,
} from '../settings/read-settings.js';
import {programVersion} from '../shared/program-version.js';
import {
	checkCommand, collect, draw, follow, read, type TimelineCommand, timelineCommands, type TimelineOutput,
} from './timeline-commands.js';
import {timelineSettingDefinitions, type TimelineSettings} from './timeline-settings.js';

const output: TimelineOutput = {
	line(text) {
		console.log(text);
	},
	problem(text) {
		console.error(text);
	},
};

const program = new Command('savorygauge-timeline')
	.description('Collects the events of all processes into one timeline, follows it, and draws the trace of a request.')
	.usage('[options] [collect | read | follow | draw]')
	.argument('[command]', 'collect: receive and print events (the default); read: print the events of a collector or file; follow: print events as they arrive; draw: draw the trace of a request')
	.version(programVersion)
	.exitOverride(error => {
		process.exit(error.exitCode === 0 ? 0 : badUsageExitCode);
	});
addSettingFlags(program, timelineSettingDefinitions);
program.parse();

const named = program.args.find(argument => !argument.startsWith('-')) ?? 'collect';
const command = timelineCommands.find(known => known === named);
const checked = checkSettings(timelineSettingDefinitions, givenTextsOf(program, timelineSettingDefinitions));
const findings = [
	...findUnknownArguments(program, 1),
	...(command === undefined ? [{place: {source: 'flag' as const, name: named}, message: `is no command; expected ${timelineCommands.join(', ')}`}] : []),
	...checked.swap().orDefault([]),
	...checked.map(settings => command === undefined ? [] : checkCommand(command, settings)).orDefault([]),
];
if (findings.length > 0) {
	exitWithFindings(findings);
}

try {
	process.exitCode = await run(command!, checked.unsafeCoerce());
} catch (error) {
	output.problem((error as Error).message);
	process.exitCode = 1;
}

async function run(chosen: TimelineCommand, settings: TimelineSettings): Promise<number> {
	switch (chosen) {
		case 'collect': {
			const stop = new AbortController();
			for (const signal of ['SIGTERM', 'SIGINT'] as const) {
				process.once(signal, () => {
					stop.abort();
				});
			}

			await collect(settings, output, stop.signal);
			return 0;
		}

		case 'read': {
			return read(settings, output);
		}

		case 'follow': {
			await follow(settings, output);
			return 0;
		}

		case 'draw': {
			return draw(settings, output);
		}
	}
}
