import assert from 'node:assert/strict';
import {test} from 'node:test';
import {entrySettingDefinitions} from '../entry/entry-settings.js';
import {formatFinding} from '../shared/format-finding.js';
import {type Finding} from '../shared/types.js';
import {checkSettings} from './read-settings.js';

test('all findings are reported together, each with its flag or variable', () => {
	const answer = checkSettings(entrySettingDefinitions, {
		flags: {listen: 'localhost:80', instance: 'entry-1'},
		environment: {SAVORYGAUGE_LOG_LEVEL: 'loud', SAVORYGAUGE_OPERATOR_KEY: 'short', SAVORYGAUGE_INSTANCE: ''},
	});
	const lines = (answer.extract() as Finding[]).map(finding => formatFinding(finding));
	assert.deepEqual(lines, [
		'--data-centre: is missing; give it here or in SAVORYGAUGE_DATA_CENTRE',
		'--listen: "localhost:80" is not an IP:port',
		'SAVORYGAUGE_OPERATOR_KEY: is not accepted',
		'--cache-secret: is missing; give it here or in SAVORYGAUGE_CACHE_SECRET',
		'--table-address: is missing; give it here or in SAVORYGAUGE_TABLE_ADDRESS',
		'--object-address: is missing; give it here or in SAVORYGAUGE_OBJECT_ADDRESS',
		'--list-address: is missing; give it here or in SAVORYGAUGE_LIST_ADDRESS',
		'SAVORYGAUGE_LOG_LEVEL: "loud" is none of debug, info, warn, error',
	]);
});
