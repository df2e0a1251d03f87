import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Moment} from '../../ports/moment-clock.js';
import {freshMilliseconds} from '../../protocol/parts/part-times.js';
import {HubView} from './hub-view.js';

const at = (milliseconds: number, jump = 0): Moment => ({steady: milliseconds, wall: milliseconds + jump});

function heardAt(askedAt: number, answeredAt: number): HubView {
	const view = new HubView();
	view.takeParts({
		kind: 'parts', holder: 'cache', added: [['s|p', 800]], removed: [],
	});
	view.takeAnswer({
		kind: 'answer', number: 1, clock: 50_000, isLapsed: false, open: ['cache'], engines: ['e1'], loads: {},
	}, at(askedAt), at(answeredAt));
	return view;
}

test('what was heard is used only while fresh, counted from the question', () => {
	// The hub is cut off. Meanwhile it withdraws a part, waits until nobody can still use it, and frees it. An instance that
	// counted from the late answer would have an engine read the freed memory.
	const view = heardAt(1000, 1600);
	assert.equal(view.holds('cache', 's|p', at(1000 + freshMilliseconds - 1)), true);
	assert.equal(view.holds('cache', 's|p', at(1000 + freshMilliseconds)), false);
	assert.equal(view.isOpen('cache', at(1000 + freshMilliseconds)), false);
	assert.equal(view.engineClock(at(1000 + freshMilliseconds)), undefined);
	assert.equal(view.othersAt('engine', at(1000 + freshMilliseconds)), undefined);
});

test('a suspension that the steady clock missed ends freshness as well', () => {
	assert.equal(heardAt(1000, 1010).holds('cache', 's|p', at(1100, 5000)), false);
});

test('the engines\' clock is never told too far on', () => {
	assert.equal(heardAt(1000, 1200).engineClock(at(1300)), 50_100);
});

test('a part that was taken back is not held', () => {
	const view = heardAt(1000, 1010);
	view.takeParts({
		kind: 'parts', holder: 'cache', added: [], removed: ['s|p'],
	});
	assert.equal(view.holds('cache', 's|p', at(1020)), false);
});
