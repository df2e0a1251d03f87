import assert from 'node:assert/strict';
import {test} from 'node:test';
import {playCut, playOutage} from './failures.js';

test('an isolated data centre keeps working, and gets the latest configuration soon after it is reconnected', () => {
	// Inside, the last configuration stays in force, and the instances own all endpoints of the data centre. Two changes are
	// accepted outside. After the reconnection the readers inside read them from the table, or a peer outside announces them.
	const cut = playCut(3);
	assert.deepEqual([cut.versionInside, cut.versionOutside, cut.membersInside, cut.ownedInside], [1, 3, 4, 6]);
	assert.ok(cut.newestAgain !== undefined && cut.newestAgain <= 3000, `latest configuration after ${cut.newestAgain} ms`);
	assert.ok(cut.membersAgain !== undefined && cut.membersAgain <= 10_000, `all members known after ${cut.membersAgain} ms`);
});

test('after an outage of the platform, the instances do not all read the table at once', () => {
	// Callers are not affected. During the outage the readers back off, each with its own jitter, and the other instances
	// keep polling rarely. So the table gets about as many reads a second after its return as in normal operation.
	const outage = playOutage(2, 4);
	assert.equal(outage.liveDuring, 30);
	assert.ok(outage.readsPerSecondDuring < outage.readsPerSecondBefore);
	assert.ok(outage.mostReadsPerSecondAfter <= 2 * outage.readsPerSecondBefore, `${outage.mostReadsPerSecondAfter} reads in a second`);
	assert.ok(outage.newestAfter !== undefined && outage.newestAfter <= 3000, `latest configuration after ${outage.newestAfter} ms`);
});
