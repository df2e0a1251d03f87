/** Builds the report of one crash, bounded: a prompt may have hundreds of blocks, and callers may invent any number of them. */
import {type AnswerProgress} from '../../decision/crashes/answer-progress.js';
import {type LostRequest} from './crash-detector.js';
import {type CrashReport, type PromptAtCrash} from './crash-reports.js';

/** More requests than an endpoint runs and queues for one instance; those in flight for the shortest time are kept. */
export const maxRequestsPerReport = 64;
const maxBlocksPerPrompt = 128;
/** Blocks in a report: a fifth of the bytes that a row may have. */
const maxBlocks = 256;

const reportOrder: Readonly<Record<AnswerProgress, number>> = {begun: 0, unanswered: 1, answering: 2};

/** The crash, and the requests that this instance lost in it. */
export type LostInCrash = Pick<CrashReport, 'incarnation' | 'instance' | 'at'> & {requests: readonly LostRequest[]};

/**
 * Builds the report.
 *
 * Blocks that this instance has seen answered are left out, but for prompts whose answer had just begun: these are the most
 * suspicious, and kept first. Prompts that were being answered come last and share what is left; of their blocks those that were
 * present at other crashes are kept first.
 *
 * @param lost - What was lost.
 * @param isAnswered - Whether a feature has been answered here lately.
 * @param isSuspected - Whether a feature was present at other crashes and has not been cleared of them.
 */
export function crashReport({requests, ...crash}: LostInCrash, isAnswered: (feature: string) => boolean, isSuspected: (feature: string) => boolean): CrashReport {
	const latest = requests.toSorted((left, right) => left.inFlightMilliseconds - right.inFlightMilliseconds).slice(0, maxRequestsPerReport);
	const prompts: PromptAtCrash[] = [];
	let left = maxBlocks;
	const ordered = latest.toSorted((one, other) => reportOrder[one.progress] - reportOrder[other.progress]);
	for (const [index, {fingerprint, workspace, progress, blocks}] of ordered.entries()) {
		const hasBegun = progress === 'begun';
		const isAnswering = progress === 'answering';
		const unanswered = blocks.filter(block => !isAnswered(block)).toSorted((one, other) => Number(isSuspected(other)) - Number(isSuspected(one)));
		const suspected = hasBegun ? [...unanswered, ...blocks.filter(block => isAnswered(block))] : unanswered;
		const share = isAnswering ? Math.ceil(left / (ordered.length - index)) : left;
		const kept = suspected.slice(0, Math.min(share, maxBlocksPerPrompt));
		left -= kept.length;
		if (kept.length > 0) {
			prompts.push({
				fingerprint, workspace, hasBegun, ...(isAnswering ? {isAnswering} : {}), blocks: kept,
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
