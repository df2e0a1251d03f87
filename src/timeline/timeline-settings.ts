/** The settings of `savorygauge-timeline`. `draw` filters by `request` only; the other commands use all filters. */
import {type SettingDefinition, type SettingValues} from '../settings/setting-definition.js';
import {
	parseAddress, parseOptionalAddress, parseOptionalText, parseWholeNumberBetween,
} from '../settings/setting-parsers.js';

const listen: SettingDefinition<string> = {
	flag: 'listen', valueName: 'IP:port', description: 'where the processes send their events; port 0 takes a free one', defaultText: '127.0.0.1:8090', parse: parseAddress,
};
const keepEvents: SettingDefinition<number> = {
	flag: 'keep-events', valueName: 'number', description: 'how many events are kept, the newest ones', defaultText: '200000', parse: parseWholeNumberBetween(1000, 5_000_000),
};
const save: SettingDefinition<string> = {
	flag: 'save', valueName: 'file', description: 'append all events to this file, one JSON object a line; empty for none', defaultText: '', parse: parseOptionalText,
};
const request = filter('request', 'id', 'only the events of this request');
const workspace = filter('workspace', 'name', 'only the events of this workspace');
const endpoint = filter('endpoint', 'name', 'only the events of this endpoint');
const instance = filter('instance', 'name', 'only the events of this instance');
const dataCentre = filter('data-centre', 'name', 'only the events of this data centre');
const kind = filter('kind', 'name,…', 'only events of these kinds, with commas between');
const collector: SettingDefinition<string> = {
	flag: 'collector', valueName: 'IP:port', description: 'for read, follow and draw: the running collector to ask', defaultText: '', parse: parseOptionalAddress,
};
const file: SettingDefinition<string> = {
	flag: 'file', valueName: 'file', description: 'for read and draw: a saved file to read in place of a collector', defaultText: '', parse: parseOptionalText,
};
const output: SettingDefinition<string> = {
	flag: 'output', valueName: 'file', description: 'for draw: write a drawing, by the ending .svg or .html, in place of text', defaultText: '', parse: parseOptionalText,
};

function filter(flag: string, valueName: string, description: string): SettingDefinition<string> {
	return {
		flag, valueName, description, defaultText: '', parse: parseOptionalText,
	};
}

export const timelineSettingDefinitions = {
	listen,
	keepEvents,
	save,
	request,
	workspace,
	endpoint,
	instance,
	dataCentre,
	kind,
	collector,
	file,
	output,
};

/** The values that `savorygauge-timeline` runs with. */
export type TimelineSettings = SettingValues<typeof timelineSettingDefinitions>;
