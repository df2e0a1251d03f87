/** Builds the report of one crash, bounded: a prompt may have hundreds of blocks, and callers may invent any number of them. */
import {type LostRequest} from './crash-detector.js';
import {type CrashReport, type PromptAtCrash} from './crash-reports.js';

/** More requests than an endpoint runs and queues for one instance; those in flight for the shortest time are kept. */
export const maxRequestsPerReport = 64;
const maxBlocksPerPrompt = 128;
/** Blocks in a report: a fifth of the bytes that a row may have. */
const maxBlocks = 256;

/** The crash, and the requests that this instance lost in it. */
export type LostInCrash = Pick<CrashReport, 'incarnation' | 'instance' | 'at'> & {requests: readonly LostRequest[]};

/**
 * Builds the report.
 *
 * A prompt of which something had been answered had been read by the endpoint, so its blocks are left out. So are blocks that this
 * instance has seen answered, but for prompts whose answer had just begun: these are the most suspicious, and kept first.
 *
 * @param lost - What was lost.
 * @param isAnswered - Whether a feature has been answered here lately.
 */
export function crashReport({requests, ...crash}: LostInCrash, isAnswered: (feature: string) => boolean): CrashReport {
	const latest = requests.toSorted((left, right) => left.inFlightMilliseconds - right.inFlightMilliseconds).slice(0, maxRequestsPerReport);
	const prompts: PromptAtCrash[] = [];
	let left = maxBlocks;
	for (const {fingerprint, workspace, progress, blocks} of latest.toSorted((one, other) => Number(other.progress === 'begun') - Number(one.progress === 'begun'))) {
		const hasBegun = progress === 'begun';
		const unanswered = blocks.filter(block => !isAnswered(block));
		const suspected = hasBegun ? [...unanswered, ...blocks.filter(block => isAnswered(block))] : unanswered;
		const kept = progress === 'answering' ? [] : suspected.slice(0, Math.min(left, maxBlocksPerPrompt));
		left -= kept.length;
		if (kept.length > 0) {
			prompts.push({
				fingerprint, workspace, hasBegun, blocks: kept,
			});
		}
	}

	return {
		kind: 'crash',
		...crash,
		requests: latest.map(({fingerprint, inFlightMilliseconds}) => [fingerprint, Math.round(inFlightMilliseconds)]),
		...(prompts.length > 0 ? {prompts} : {}),
	};
}
