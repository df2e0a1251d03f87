import assert from 'node:assert/strict';
import {test} from 'node:test';
import {emptyConfiguration} from '../../protocol/configuration/configuration-state.js';
import {digestOf} from '../../shared/digest-of.js';
import {type WorkspaceItem} from '../../shared/types.js';
import {authenticate} from './authenticate.js';

function workspaceOf(name: string, ...keys: string[]): [string, WorkspaceItem] {
	return [name, {
		name, keyDigests: keys.map(key => digestOf(key)), priority: 'normal', share: 1, services: [],
	}];
}

const first = {...emptyConfiguration, workspaces: new Map([workspaceOf('quay', 'old-key', 'new-key'), workspaceOf('parish', 'parish-key')])};
const second = {...first, workspaces: new Map([workspaceOf('quay', 'new-key')])};
const nameOf = (state: typeof first, header?: string): string => authenticate(state, header).map(({name}) => name).orDefault('refused');

test('each key of a workspace authenticates it, and nothing else does', () => {
	assert.equal(nameOf(first, 'Bearer old-key'), 'quay');
	assert.equal(nameOf(first, 'Bearer new-key'), 'quay');
	assert.equal(nameOf(first, 'Bearer parish-key'), 'parish');
	for (const header of [undefined, '', 'Bearer', 'Bearer no-key', 'Basic old-key', `Bearer ${digestOf('old-key')}`, 'Bearer old-key ']) {
		assert.equal(nameOf(first, header), 'refused');
	}
});

test('a removed key is refused from the next configuration on', () => {
	assert.equal(nameOf(second, 'Bearer old-key'), 'refused');
	assert.equal(nameOf(second, 'Bearer parish-key'), 'refused');
	assert.equal(nameOf(first, 'Bearer old-key'), 'quay');
});
