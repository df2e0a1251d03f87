import assert from 'node:assert/strict';
import {test} from 'node:test';
import {fitLine} from './fit-line.js';

test('exact points give a slope error of 0, scattered points a positive one', () => {
	assert.deepEqual(fitLine([{x: 1, y: 3}, {x: 2, y: 5}, {x: 3, y: 7}]), {
		intercept: 1, slope: 2, slopeError: 0, points: 3,
	});
	const {slope, slopeError} = fitLine([{x: 0, y: 0}, {x: 1, y: 2}, {x: 2, y: 1}, {x: 3, y: 3}]);
	assert.equal(slope.toFixed(2), '0.80');
	assert.equal(slopeError.toFixed(3), '0.424');
});
