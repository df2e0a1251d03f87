import assert from 'node:assert/strict';
import {test} from 'node:test';
import {playCut, playOutage} from './failures.js';

test('a data centre cut off from the others and the platform goes on, and is on the newest configuration soon after', () => {
	// Callers inside are served on the last configuration; its endpoints are all watched by its own instances. Two changes
	// are accepted outside. When the cut ends, the readers inside read them, or a peer outside announces them.
	const cut = playCut(3);
	assert.deepEqual([cut.versionInside, cut.versionOutside, cut.membersInside, cut.ownedInside], [1, 3, 4, 6]);
	assert.ok(cut.newestAgain !== undefined && cut.newestAgain <= 3000, `newest after ${cut.newestAgain} ms`);
	assert.ok(cut.membersAgain !== undefined && cut.membersAgain <= 10_000, `whole after ${cut.membersAgain} ms`);
});

test('when the platform is back after an outage, the table is not asked by all at once', () => {
	// Callers notice nothing. While the table is away its readers ask less often, each with its own jitter; the others go
	// on asking seldom. So the first seconds after its return bring about as many reads as an ordinary one.
	const outage = playOutage(2, 4);
	assert.equal(outage.liveDuring, 30);
	assert.ok(outage.readsPerSecondDuring < outage.readsPerSecondBefore);
	assert.ok(outage.mostReadsPerSecondAfter <= 2 * outage.readsPerSecondBefore, `${outage.mostReadsPerSecondAfter} reads in a second`);
	assert.ok(outage.newestAfter !== undefined && outage.newestAfter <= 3000, `newest after ${outage.newestAfter} ms`);
});
