import assert from 'node:assert/strict';
import {test} from 'node:test';
import {cacheSaltOf, pieceCharacters, pieceKeysOf} from './piece-keys.js';

const prompt = 'rulebook '.repeat(pieceCharacters);
const keysOf = (workspace: string, weightVersion: string): string[] =>
	pieceKeysOf({salt: cacheSaltOf('a secret of all instances', workspace), model: 'permit-1', weightVersion}, prompt);

test('two workspaces with the same prompt share no cache key', () => {
	// One workspace sends another's whole prompt, word for word. Were the keys equal, it would get the other's kept
	// pieces, and could tell from the time of its first token what the other had asked.
	const ours = new Set(keysOf('quay', 'w1'));
	assert.deepEqual(keysOf('councils', 'w1').filter(key => ours.has(key)), []);
	assert.deepEqual(keysOf('quay', 'w1'), [...ours]);
});

test('a new request under another weight version finds no cache of the old one', () => {
	// The weights are swapped between two visits of the same prompt. The old pieces may still lie in a store; the new
	// request's keys name none of them.
	const old = new Set(keysOf('quay', 'w1'));
	assert.deepEqual(keysOf('quay', 'w2').filter(key => old.has(key)), []);
});
