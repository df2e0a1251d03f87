import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type ConfigurationEdit} from '../../shared/types.js';
import {applyChange} from './apply-change.js';
import {changeDigest} from './change-digest.js';
import {emptyConfiguration, emptyDigest} from './configuration-state.js';

// During a rolling upgrade an operator may use an entry of the new release, and the accepted change may contain an edit of a
// kind that the old release does not know. An old instance must keep following the configuration: it must neither fail on
// that change nor refuse the changes after it.
test('an instance applies changes with edits of a kind that only a newer release knows', () => {
	const edits = [
		{action: 'set', kind: 'kind-of-the-next-release', item: {name: 'x'}},
		{action: 'set', kind: 'limit', item: {name: 'open-requests', value: 5}},
	] as unknown as ConfigurationEdit[];
	const change = {
		version: 1, previousDigest: emptyDigest, author: 'ana', reason: 'test', acceptedAt: 0, edits,
	};
	const state = applyChange(emptyConfiguration, {...change, digest: changeDigest(change)}).unsafeCoerce();
	assert.equal(state.version, 1);
	assert.deepEqual([...state.limits.values()], [{name: 'open-requests', value: 5}]);
});
