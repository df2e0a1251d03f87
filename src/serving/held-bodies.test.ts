/** The count of bodies under random arrivals, ends and refusals. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as fc from 'fast-check';
import {requestBytes} from '../decision/memory/held-bytes.js';
import {type HeldBody} from './held-body.js';
import {HeldMemory} from './held-memory.js';

const limits = {softBytes: 500_000, hardBytes: 1_000_000, bodyBytes: 750_000};
const maxBodyBytes = 1_200_000;

type Step = {kind: 'open' | 'grow' | 'complete' | 'release'; which: number; bytes: number; milliseconds: number};

const step: fc.Arbitrary<Step> = fc.record({
	kind: fc.constantFrom('open', 'grow', 'grow', 'grow', 'complete', 'release'),
	which: fc.nat(30),
	bytes: fc.nat(200_000),
	milliseconds: fc.nat(400),
});

test('bodies never exceed their limit unless there is only one, and nothing stays counted at the end', () => {
	// Guards against memory that is counted twice, or stays counted after a refusal and shuts later callers out.
	fc.assert(fc.property(fc.array(step, {maxLength: 300}), steps => {
		let now = 0;
		const memory = new HeldMemory(limits, () => now, {
			onPaused() {
				// There are no answers.
			},
			onEnded() {
				// There are no answers.
			},
			onBodyRefused() {
				// Each body notes it itself.
			},
		});
		const bodies = new Map<HeldBody, number>();
		for (const {kind, which, bytes, milliseconds} of steps) {
			now += milliseconds;
			const body = [...bodies.keys()][which % Math.max(1, bodies.size)];
			if (kind === 'open') {
				const opened = memory.openBody(0);
				opened?.whenRefused(() => {
					assert.equal(opened.displacementRank, 0, 'a body that has arrived is refused');
					bodies.delete(opened);
				});
				if (opened !== undefined) {
					bodies.set(opened, 0);
				}
			} else if (body !== undefined && kind === 'grow' && body.displacementRank === 0) {
				const length = Math.min(maxBodyBytes, bodies.get(body)! + bytes);
				if (body.hold(length)) {
					bodies.set(body, length);
				}
			} else if (body !== undefined && kind === 'complete') {
				body.complete();
			} else if (body !== undefined && kind === 'release') {
				body.release();
				bodies.delete(body);
			}

			const expected = [...bodies.values()].reduce((sum, length) => sum + length + requestBytes, 0);
			assert.equal(memory.bodyBytes, expected);
			assert.ok(bodies.size <= 1 || memory.bodyBytes <= limits.bodyBytes || isOneAbove(bodies), `${memory.bodyBytes} bytes of ${bodies.size} bodies`);
		}

		for (const body of bodies.keys()) {
			body.release();
			body.release();
		}

		assert.equal(memory.bodyBytes, 0);
	}), {seed: 83, numRuns: 300});
});

/** Whether one body alone exceeds the limit, as it may if it was the only one. */
function isOneAbove(bodies: ReadonlyMap<HeldBody, number>): boolean {
	return [...bodies.values()].some(length => length + requestBytes > limits.bodyBytes);
}
