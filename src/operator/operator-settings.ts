/** The settings of `savorygauge`, the operators' command line. */
import {type SettingDefinition} from '../settings/setting-definition.js';
import {parseAddressList, parseText} from '../settings/setting-parsers.js';

const operatorAddress: SettingDefinition<string[]> = {
	flag: 'operator-address',
	valueName: 'IP:port,…',
	description: 'operators\' addresses of entries; all are asked for requests under way, else the first',
	defaultText: '127.0.0.1:8081',
	parse: parseAddressList,
};
const operatorKey: SettingDefinition<string> = {
	flag: 'operator-key', valueName: 'key', description: 'bearer key of the operators', secret: true, parse: parseText,
};

export const operatorSettingDefinitions = {operatorAddress, operatorKey};
