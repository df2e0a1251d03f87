import assert from 'node:assert/strict';
import {test} from 'node:test';
import {cacheSaltOf, blockCharacters, promptBlockKeysOf} from './block-keys.js';

const prompt = 'rulebook '.repeat(blockCharacters);
const keysOf = (workspace: string, weightVersion: string): string[] =>
	promptBlockKeysOf({salt: cacheSaltOf('a secret of all instances', workspace), model: 'permit-1', weightVersion}, prompt);

test('two workspaces with the same prompt share no cache key', () => {
	// One workspace sends the same prompt as another. With equal keys it would get the other's cached blocks, and could infer
	// from the time to its first token what the other had sent.
	const ours = new Set(keysOf('quay', 'w1'));
	assert.deepEqual(keysOf('councils', 'w1').filter(key => ours.has(key)), []);
	assert.deepEqual(keysOf('quay', 'w1'), [...ours]);
});

test('a request under another weight version finds no blocks of the old one', () => {
	// The weights change between two requests with the same prompt. The old blocks may still be in a store, but no key of the
	// second request matches one of them.
	const old = new Set(keysOf('quay', 'w1'));
	assert.deepEqual(keysOf('quay', 'w2').filter(key => old.has(key)), []);
});
