import {encodeFrame} from '../../peer/framing/frame-codec.js';
import {type TimelineEvent} from '../../observability/timeline-event.js';

/**
 * Returns the encoded size of a typical timeline event.
 *
 * @returns Bytes.
 */
export function eventBytes(): number {
	const event: TimelineEvent = {
		kind: 'first-token',
		at: 1_796_000_000_000,
		requestId: '6f1c1f0e-8f0e-4a51-9b7e-6b8b0f7a1c55',
		attempt: 1,
		workspace: 'permits-split',
		endpoint: 'split-riva-engine-3',
		instance: 'split-riva-entry-2',
		dataCentre: 'split-riva',
		program: 'savorygauge-entry',
		sequence: 123_456,
	};
	return encodeFrame(event).length;
}
