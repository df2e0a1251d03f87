/** The settings of `savorygauge-entry`. */
import {type Either, Left, Right} from 'purify-ts/Either';
import {type LogLevel, logLevels} from '../observability/logger.js';
import {type SettingDefinition, type SettingValues} from '../settings/setting-definition.js';
import {
	parseAddress, parseOptionalAddress, parseText, parseWholeNumberBetween,
} from '../settings/setting-parsers.js';

const minSecretCharacters = 16;

function parseLogLevel(text: string): Either<string, LogLevel> {
	const level = logLevels.find(known => known === text);
	return level === undefined ? Left(`"${text}" is none of ${logLevels.join(', ')}`) : Right(level);
}

function parseSecret(text: string): Either<string, string> {
	return text.length < minSecretCharacters ? Left('is too short') : Right(text);
}

function parsePeerSeeds(text: string): Either<string, string> {
	const findings = text.split(',').filter(address => address !== '').map(address => parseAddress(address));
	return findings.find(finding => finding.isLeft()) ?? Right(text);
}

const instance: SettingDefinition<string> = {
	flag: 'instance', valueName: 'name', description: 'name of this instance, as the platform\'s list gives it', parse: parseText,
};
const dataCentre: SettingDefinition<string> = {
	flag: 'data-centre', valueName: 'name', description: 'data centre that this instance stands in', parse: parseText,
};
const listen: SettingDefinition<string> = {
	flag: 'listen', valueName: 'IP:port', description: 'where callers connect; port 0 takes a free one', defaultText: '127.0.0.1:8080', parse: parseAddress,
};
const operatorListen: SettingDefinition<string> = {
	flag: 'operator-listen', valueName: 'IP:port', description: 'where operators connect', defaultText: '127.0.0.1:8081', parse: parseAddress,
};
const peerListen: SettingDefinition<string> = {
	flag: 'peer-listen', valueName: 'IP:port', description: 'where other instances connect', defaultText: '127.0.0.1:8082', parse: parseAddress,
};
const peerSeeds: SettingDefinition<string> = {
	flag: 'peer-seeds', valueName: 'IP:port,...', description: 'peers to try when none is known, as when the platform is down at the start; empty for none', defaultText: '', parse: parsePeerSeeds,
};
const operatorKey: SettingDefinition<string> = {
	flag: 'operator-key', valueName: 'key', description: 'bearer key of the operators, at least 16 characters', secret: true, parse: parseSecret,
};
const cacheSecret: SettingDefinition<string> = {
	flag: 'cache-secret', valueName: 'secret', description: 'secret from which each workspace\'s cache salt is derived; the same on all instances', secret: true, parse: parseSecret,
};
const tableAddress: SettingDefinition<string> = {
	flag: 'table-address', valueName: 'IP:port', description: 'the platform\'s table service', parse: parseAddress,
};
const objectAddress: SettingDefinition<string> = {
	flag: 'object-address', valueName: 'IP:port', description: 'the platform\'s object store', parse: parseAddress,
};
const listAddress: SettingDefinition<string> = {
	flag: 'list-address', valueName: 'IP:port', description: 'the platform\'s instance list', parse: parseAddress,
};
const timelineAddress: SettingDefinition<string> = {
	flag: 'timeline-address', valueName: 'IP:port', description: 'the collector of the time line; empty for none', defaultText: '', parse: parseOptionalAddress,
};
const metricsAddress: SettingDefinition<string> = {
	flag: 'metrics-address', valueName: 'IP:port', description: 'the StatsD server; empty for none', defaultText: '', parse: parseOptionalAddress,
};
const logLevel: SettingDefinition<LogLevel> = {
	flag: 'log-level', valueName: 'level', description: 'least level that is logged: debug, info, warn or error', defaultText: 'info', parse: parseLogLevel,
};
const configurationPollMilliseconds: SettingDefinition<number> = {
	flag: 'configuration-poll-milliseconds', valueName: 'number', description: 'time between two looks at the newest configuration', defaultText: '500', parse: parseWholeNumberBetween(10, 60_000),
};
const loadPollMilliseconds: SettingDefinition<number> = {
	flag: 'load-poll-milliseconds', valueName: 'number', description: 'time between two load reports of an endpoint', defaultText: '500', parse: parseWholeNumberBetween(10, 60_000),
};
const storePieceMilliseconds: SettingDefinition<number> = {
	flag: 'store-piece-milliseconds',
	valueName: 'number',
	description: 'time that a kept piece takes from a cache store to an endpoint while nobody else uses the link',
	defaultText: '20',
	parse: parseWholeNumberBetween(1, 60_000),
};
const listPollMilliseconds: SettingDefinition<number> = {
	flag: 'list-poll-milliseconds', valueName: 'number', description: 'time between two looks at the instance list', defaultText: '1000', parse: parseWholeNumberBetween(10, 60_000),
};

const memoryMegabytes: SettingDefinition<number> = {
	flag: 'memory-megabytes', valueName: 'number', description: 'memory of this process; what it holds for callers is limited to a part of it', defaultText: '2048', parse: parseWholeNumberBetween(64, 1_048_576),
};
const maxDescriptors: SettingDefinition<number> = {
	flag: 'max-descriptors', valueName: 'number', description: 'descriptors that this process may have; connections of callers are limited to a part of them', defaultText: '4096', parse: parseWholeNumberBetween(256, 1_048_576),
};

export const entrySettingDefinitions = {
	instance,
	dataCentre,
	listen,
	operatorListen,
	peerListen,
	peerSeeds,
	operatorKey,
	cacheSecret,
	tableAddress,
	objectAddress,
	listAddress,
	timelineAddress,
	metricsAddress,
	logLevel,
	configurationPollMilliseconds,
	loadPollMilliseconds,
	listPollMilliseconds,
	storePieceMilliseconds,
	memoryMegabytes,
	maxDescriptors,
};

/** The values that `savorygauge-entry` runs with. */
export type EntrySettings = SettingValues<typeof entrySettingDefinitions>;
