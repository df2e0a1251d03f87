import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type HolderStates, BlockDirectory} from './block-directory.js';

const holders: HolderStates = {stores: ['cache'], isUpToDate: engine => engine !== 'e9', requestsAt: engine => engine === 'e1' ? 5 : 1};

test('an answer covers the queried engines, and some more that hold the deepest block', () => {
	const directory = new BlockDirectory();
	directory.apply('cache', {added: [['s|deep', 800]], removed: []});
	directory.apply('engine:e1', {added: [['s|first', 100], ['s|deep', 800]], removed: []});
	directory.apply('engine:e2', {added: [['s|first', 100]], removed: []});
	directory.apply('engine:e3', {added: [['s|first', 100]], removed: []});
	const answer = directory.answer({endpoints: ['e2', 'e9'], keys: ['s|first', 's|deep', 's|own'], partCount: 3}, holders);
	assert.deepEqual(answer.engines, ['e2', 'e9', 'e1', 'e3']);
	assert.deepEqual(answer.unknown, ['e9']);
	assert.deepEqual(answer.kept, [['cache', [[1, 800]]], ['engine:e2', [[0, 100]]], ['engine:e1', [[0, 100], [1, 800]]], ['engine:e3', [[0, 100]]]]);
});

test('an answer stays small where nearly all engines hold a block', () => {
	// Guards against answers that grow with the number of engines.
	const directory = new BlockDirectory();
	for (let engine = 0; engine < 500; engine++) {
		directory.apply(`engine:e${engine}`, {added: [['s|first', 100], ...(engine < 20 ? [['s|deep', 800] as [string, number]] : [])], removed: []});
	}

	const {engines} = directory.answer({endpoints: ['e400'], keys: ['s|first', 's|deep'], partCount: 2}, holders);
	assert.equal(engines.length, 9);
	assert.equal(engines.includes('e1'), false, 'the holder with the most requests is named before others');
});

test('a block that a holder has dropped is not in the answer', () => {
	const directory = new BlockDirectory();
	directory.apply('cache', {added: [['s|a', 800]], removed: []});
	directory.apply('cache', {added: [], removed: ['s|a', 's|never']});
	assert.deepEqual(directory.answer({endpoints: [], keys: ['s|a'], partCount: 1}, holders).kept, []);
});

test('a store that may not be offered is not in the answer', () => {
	// Guards against the use of blocks that another coordinator may have freed meanwhile.
	const directory = new BlockDirectory();
	directory.apply('cache', {added: [['s|a', 800]], removed: []});
	assert.deepEqual(directory.answer({endpoints: [], keys: ['s|a'], partCount: 1}, {...holders, stores: []}).kept, []);
});
