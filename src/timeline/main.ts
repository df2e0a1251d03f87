#!/usr/bin/env node
/** `savorygauge-timeline`: collects the events of all processes and follows them live. */
import process from 'node:process';
import {Command} from 'commander';
import {addSettingFlags, badUsageExitCode, readSettingsOrExit} from '../settings/read-settings.js';
import {type SettingDefinition} from '../settings/setting-definition.js';
import {parseAddress, parseOptionalText} from '../settings/setting-parsers.js';
import {programVersion} from '../shared/program-version.js';
import {TimelineCollector} from './collector.js';
import {formatEvent} from './format-event.js';

const listen: SettingDefinition<string> = {
	flag: 'listen', valueName: 'IP:port', description: 'where the processes send their events; port 0 takes a free one', defaultText: '127.0.0.1:8090', parse: parseAddress,
};
const request: SettingDefinition<string> = {
	flag: 'request', valueName: 'id', description: 'show only the events of this request', defaultText: '', parse: parseOptionalText,
};
export const timelineSettingDefinitions = {listen, request};

const command = new Command('savorygauge-timeline')
	.description('Collects the events of all processes into one time line and follows it.')
	.version(programVersion)
	.exitOverride(error => {
		process.exit(error.exitCode === 0 ? 0 : badUsageExitCode);
	});
addSettingFlags(command, timelineSettingDefinitions);
command.parse();
const settings = readSettingsOrExit(command, timelineSettingDefinitions);
const collector = new TimelineCollector(event => {
	if (settings.request === '' || event.requestId === settings.request) {
		console.log(formatEvent(event));
	}
});
const separator = settings.listen.lastIndexOf(':');
const address = await collector.listen(settings.listen.slice(0, separator), Number(settings.listen.slice(separator + 1)));
console.log(JSON.stringify({ready: true, address}));
process.once('SIGTERM', () => {
	process.exit(0);
});
