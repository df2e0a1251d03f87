import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type CrowdKind} from '../check/crowd-requests.js';
import {runMisbehavingClients} from '../check/misbehaving-clients-over-processes.js';

const limitMegabytes = 202;
const maxDescriptors = 400;
/** The platform reserves so many descriptors for files; sockets and pipes share the others. */
const fileDescriptors = 200;
const clients = 240;
const clientsOfEach = 60;

const crowds: Record<string, {crowd: Partial<Record<CrowdKind, number>>; hasPressure?: boolean}> = {
	'legal bodies with a length': {crowd: {whole: clients}},
	'legal bodies with a length, a piece at a time': {crowd: {piecewise: clients}},
	'legal bodies in large chunks': {crowd: {'large-chunks': clients}},
	'legal bodies in very small chunks': {crowd: {'small-chunks': clients}},
	'bodies that are announced as far over the limit': {crowd: {announced: clients}},
	'bodies in chunks that go far over the limit': {crowd: {unannounced: clients}},
	'heads that do not end': {crowd: {heads: clients}},
	'all of these together': {
		crowd: {
			whole: clientsOfEach, piecewise: clientsOfEach, 'large-chunks': clientsOfEach, 'small-chunks': clientsOfEach, announced: clientsOfEach, unannounced: clientsOfEach, heads: clientsOfEach,
		},
	},
	'all of these together, where callers compete for memory': {
		crowd: {
			whole: clientsOfEach, piecewise: clientsOfEach, 'large-chunks': clientsOfEach, 'small-chunks': clientsOfEach, announced: clientsOfEach, unannounced: clientsOfEach, heads: clientsOfEach,
		},
		hasPressure: true,
	},
};

for (const [name, {crowd, hasPressure = false}] of Object.entries(crowds)) {
	test(`over a real process: a crowd neither ends it nor uses up its memory and descriptors: ${name}`, async t => {
		// Guards against an instance that clients use up before any of what they send is a request.
		const report = await runMisbehavingClients({
			network: 143, crowd, limitMegabytes, maxDescriptors, maxBodyBytes: 1_000_000, hasPressure, milliseconds: 8000,
		});
		t.diagnostic(JSON.stringify(report));
		assert.equal(report.hasEnded, false);
		assert.ok(report.peakMegabytes <= limitMegabytes, `${report.peakMegabytes} MB`);
		assert.ok(report.peakDescriptors <= maxDescriptors, `${report.peakDescriptors} descriptors`);
		assert.ok(report.peakSockets <= maxDescriptors - fileDescriptors, `${report.peakSockets} sockets`);
		assert.equal(report.ordinary, 200, JSON.stringify(report));
		assert.equal(report.brokenPromises, 0, JSON.stringify(report));
		assert.deepEqual(report.calm, [200, 200]);
	});
}
