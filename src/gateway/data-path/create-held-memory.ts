/** Creates the count of the bytes that a gateway holds for its callers, with its log lines and metrics. */
import {type MemoryLimits} from '../../decision/memory/memory-limits.js';
import {HeldMemory} from '../../serving/held-memory.js';
import {type GatewayContext} from '../gateway-context.js';

/**
 * Creates the count.
 *
 * @param context - The clock, and where outcomes are reported.
 * @param limits - The limits of this process.
 */
export function createHeldMemory({clock, log, metrics}: Pick<GatewayContext, 'clock' | 'log' | 'metrics'>, limits: MemoryLimits): HeldMemory {
	const memory = new HeldMemory(limits, () => clock.moment().steady, {
		onPaused() {
			metrics.memoryOutcomes.inc({reason: 'paused'});
		},
		onEnded(id, pausedMilliseconds, answerBytes, state) {
			metrics.memoryOutcomes.inc({reason: 'ended'});
			log.record('answer-ended', {
				id, answerBytes, pausedMilliseconds: Math.round(pausedMilliseconds), ...state,
			});
		},
		onBodyRefused() {
			metrics.memoryOutcomes.inc({reason: 'displaced'});
		},
	});
	metrics.readHeldBytes = () => ({bodies: memory.bodyBytes, answers: memory.answerBytes});
	return memory;
}
