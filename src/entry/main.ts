#!/usr/bin/env node
/** `savorygauge-entry`: serves callers and operators in one data centre. */
import process from 'node:process';
import {Command} from 'commander';
import {addSettingFlags, readSettingsOrExit} from '../settings/read-settings.js';
import {stopOnSignals} from '../shared/stop-on-signals.js';
import {programVersion} from '../shared/program-version.js';
import {EntryDaemon} from './entry-daemon.js';
import {entrySettingDefinitions} from './entry-settings.js';

const command = new Command('savorygauge-entry')
	.description('Takes callers\' requests, routes them to endpoints, and serves operators.')
	.version(programVersion)
	.exitOverride(error => {
		process.exit(error.exitCode === 0 ? 0 : 2);
	});
addSettingFlags(command, entrySettingDefinitions);
command.parse();
const settings = readSettingsOrExit(command, entrySettingDefinitions);
const daemon = new EntryDaemon(settings);
stopOnSignals(async () => daemon.stop());

await daemon.run(addresses => {
	console.log(JSON.stringify({ready: true, ...addresses}));
});
