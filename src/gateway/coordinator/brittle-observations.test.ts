import assert from 'node:assert/strict';
import {test} from 'node:test';
import {BrittleObservations} from './brittle-observations.js';

test('the latest observation of a service counts, whenever it is reported', () => {
	const observations = new BrittleObservations();
	observations.note([{service: 'desk', isBrittle: true, ageMilliseconds: 100}], 1000);
	observations.note([{service: 'desk', isBrittle: false, ageMilliseconds: 500}], 1200);
	assert.deepEqual(observations.reports(2000), [{service: 'desk', isBrittle: true, ageMilliseconds: 1100}]);
	observations.note([{service: 'desk', isBrittle: false, ageMilliseconds: 0}], 2000);
	assert.deepEqual(observations.reports(2000), [{service: 'desk', isBrittle: false, ageMilliseconds: 0}]);
	assert.equal(observations.size, 1);
});
