import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Moment} from '../../ports/moment-clock.js';
import {reportValidityMilliseconds} from '../../protocol/blocks/block-times.js';
import {type CoordinatorFrame, type PlacementQuery} from './coordinator-messages.js';
import {CoordinatorView} from './coordinator-view.js';

const at = (milliseconds: number, jump = 0): Moment => ({steady: milliseconds, wall: milliseconds + jump});
const query: PlacementQuery = {endpoints: ['e1', 'e2'], keys: ['s|a', 's|p'], partCount: 2};

/** An answer by which a store and one engine hold the second block; the blocks of the other engine are unknown. */
const answer: CoordinatorFrame = {
	kind: 'answer',
	number: 1,
	clock: 50_000,
	isDeputy: false,
	dataCentre: 'split',
	isLapsed: false,
	open: [['cache', 4000]],
	loads: {e1: [3, 0, 0, 0, 0, 0, 0]},
	parts: {kept: [['cache', [[1, 800]]], ['engine:e1', [[1, 800]]]], engines: ['e1', 'e2'], unknown: ['e2']},
	tables: [],
	mostCores: 1,
	instances: 1,
};

function viewOfAnswer(queriedAt: number, answeredAt: number): CoordinatorView {
	const view = new CoordinatorView();
	view.applyAnswer(answer, query, at(queriedAt), at(answeredAt));
	return view;
}

test('an answer is used only while fresh, counted from the sending of its query', () => {
	// The coordinator is cut off. Meanwhile it withdraws a block, waits until no instance can still use it, and frees it. An
	// instance that counted from the late answer would have an engine read the freed memory.
	const view = viewOfAnswer(1000, 1600);
	const last = at(1000 + reportValidityMilliseconds - 1);
	const late = at(1000 + reportValidityMilliseconds);
	assert.equal(view.holds('cache', 's|p', last), true);
	assert.equal(view.tokensAt('e1', 's|p', last), 800);
	assert.equal(view.holds('cache', 's|p', late), false);
	assert.equal(view.tokensAt('e1', 's|p', late), undefined);
	assert.deepEqual(view.enginesWith('s|p', late), []);
	assert.equal(view.isOpen('cache', late), false);
	assert.equal(view.engineClock(late), undefined);
	assert.equal(view.peerLoadAt('e1', late), undefined);
});

test('an answer about other blocks does not refresh older ones', () => {
	// Guards against an engine that reads a freed block: the coordinator may have withdrawn it between the two queries.
	const view = viewOfAnswer(1000, 1010);
	const laterAnswer: CoordinatorFrame = {
		...answer, number: 2, loads: {}, parts: {kept: [], engines: [], unknown: []},
	};
	view.applyAnswer(laterAnswer, {endpoints: [], keys: ['s|q'], partCount: 1}, at(1700), at(1710));
	const later = at(1000 + reportValidityMilliseconds);
	assert.equal(view.isOpen('cache', later), true);
	assert.equal(view.holds('cache', 's|p', later), false);
	assert.equal(view.peerLoadAt('e1', later), undefined);
});

test('a suspension that the steady clock missed ends freshness as well', () => {
	assert.equal(viewOfAnswer(1000, 1010).holds('cache', 's|p', at(1100, 5000)), false);
});

test('the engines\' clock is never ahead of its true time', () => {
	assert.equal(viewOfAnswer(1000, 1200).engineClock(at(1300)), 50_100);
});

test('a withdrawn block is not held', () => {
	const view = viewOfAnswer(1000, 1010);
	view.applyAnswer({...answer, number: 2, parts: {kept: [], engines: ['e1'], unknown: []}}, query, at(1020), at(1030));
	assert.equal(view.holds('cache', 's|p', at(1040)), false);
	assert.equal(view.tokensAt('e1', 's|p', at(1040)), 0);
});

test('the blocks of an engine whose events were lost are unknown', () => {
	assert.equal(viewOfAnswer(1000, 1010).tokensAt('e2', 's|p', at(1020)), undefined);
});
