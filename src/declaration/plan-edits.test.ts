import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {test} from 'node:test';
import {applyEdits} from '../protocol/configuration/apply-change.js';
import {emptyConfiguration} from '../protocol/configuration/configuration-state.js';
import {checkDeclaration} from './check-declaration.js';
import {type Declaration} from './declaration-schema.js';
import {describeEdit} from './describe-edit.js';
import {planEdits, planRevert} from './plan-edits.js';

async function declarationOf(file: string, change: (text: string) => string = text => text): Promise<Declaration> {
	return checkDeclaration([{file, text: change(await readFile(file, 'utf8'))}]).unsafeCoerce();
}

for (const deployment of ['split', 'lindqvist']) {
	test(`the declaration of ${deployment} is valid and has ten workspaces`, async () => {
		const {workspaces} = await declarationOf(`examples/${deployment}.yaml`);
		assert.equal(workspaces.length, 10);
	});
}

test('a plan lists the changes member by member and does not touch drains, and a revert undoes it', async () => {
	const declared = await declarationOf('examples/split.yaml');
	const drain = {action: 'set', kind: 'drain', item: {name: 'riva-engine-1', reason: 'fan'}} as const;
	const state = applyEdits(emptyConfiguration, [...planEdits(emptyConfiguration, declared), drain]);
	assert.deepEqual(planEdits(state, declared), []);
	const changed = await declarationOf('examples/split.yaml', text => text.replace('share: 8', 'share: 9').replace('services: [permits]', 'services: [bookings]'));
	const edits = planEdits(state, changed);
	assert.deepEqual(edits.flatMap(edit => describeEdit(state, edit)), [
		'change workspace council-split',
		'  services: -permits +bookings',
		'change workspace performers',
		'  share: 8 -> 9',
	]);
	const after = applyEdits(state, edits);
	assert.deepEqual(applyEdits(after, planRevert(after, state)), state);
});

test('a key that two workspaces share is reported at the second one', () => {
	const item = (name: string): string => `  - {name: ${name}, keyDigests: [${'a'.repeat(64)}], services: [s]}\n`;
	const text = `workspaces:\n${item('one')}${item('two')}services:\n  - {name: s, kind: plain}\n`;
	const findings = checkDeclaration([{file: 'a.yaml', text}]).swap().orDefault([]);
	assert.deepEqual(findings, [{
		place: {
			source: 'file', file: 'a.yaml', line: 3, column: 30,
		}, message: 'this key belongs to the workspace "one" already',
	}]);
});
