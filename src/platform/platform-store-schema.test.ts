import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type JsonValue} from '../shared/types.js';
import {platformStoreSchema} from './platform-store-schema.js';

const row = {
	service: 'desk', address: '127.0.0.1:1', zone: 'split', state: 'ready',
};

function softwareVersionOf(content: JsonValue): string | undefined {
	return platformStoreSchema.readEndpointRow('desk-1', content).caseOf({
		Left: () => undefined,
		Right: ({softwareVersion}) => softwareVersion,
	});
}

test('the software version of an endpoint is read from its row, and is empty where the row has none', () => {
	assert.equal(softwareVersionOf({...row, version: 'v1.1'}), 'v1.1');
	assert.equal(softwareVersionOf(row), '');
});

test('a row whose software version is no text names no endpoint', () => {
	assert.equal(softwareVersionOf({...row, version: 7}), undefined);
});
