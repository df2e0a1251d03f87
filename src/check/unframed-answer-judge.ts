/** Judges what callers got of unframed answers, by what the endpoints sent. */
import {type CallerKind, type RawAnswer} from './raw-caller.js';
import {answerEvent, answerPlanOf, type UnframedEndpoints} from './unframed-endpoints.js';

/** What came of one request. */
export type CallerOutcome = {
	path: string;
	kind: CallerKind;
	body: string;
	answer: RawAnswer;
	/** In milliseconds of `performance.now()`. */
	startedAt: number;
	/** Whether the instance that the caller had sent it to was killed meanwhile. */
	isInstanceKilled: boolean;
};

export type AnswerJudgement = {
	sent: number;
	/** Requests that did not reach an instance. */
	notConnected: number;
	/** Answers that arrived whole and were marked as complete. */
	whole: number;
	/** Of these, streams that an endpoint had broken. */
	resumed: number;
	/** Answers that were marked as complete and are not. */
	wronglyComplete: number;
	/** Answers that no endpoint broke and that did not arrive whole, though their instance went on. */
	lost: number;
	/** Streams that may be resumed, were broken, and were marked as incomplete, as where no retry was left. */
	notResumed: number;
	/** Answers whose bytes are not the first ones of what was asked for. */
	wrongBytes: number;
	/** Requests that are sent once and ran more than once. */
	repeated: number;
	/**
	 * Answers that were marked as complete where no byte shows that they are not: closed between two events, or to an HTTP/1.0 caller
	 * by the end of the instance's process.
	 */
	indistinguishable: number;
	/** All other answers, by kind of caller, end and status. */
	otherAnswers: Record<string, number>;
};

const oncePath = '/once/';
const endsPromised: ReadonlySet<number> = new Set([429, 503]);

export class AnswerJudge {
	readonly judgement: AnswerJudgement = {
		sent: 0, notConnected: 0, whole: 0, resumed: 0, wronglyComplete: 0, lost: 0, notResumed: 0, wrongBytes: 0, repeated: 0, indistinguishable: 0, otherAnswers: {},
	};

	readonly #endpoints: UnframedEndpoints;
	readonly #resumablePaths: readonly string[];

	/** @param endpoints - What the endpoints have done with each request. */
	constructor(endpoints: UnframedEndpoints, resumablePaths: readonly string[]) {
		this.#endpoints = endpoints;
		this.#resumablePaths = resumablePaths;
	}

	judge(outcome: CallerOutcome): void {
		const {path, body, answer: {status, end, body: received}} = outcome;
		const {judgement} = this;
		judgement.sent++;
		if (path === oncePath && (this.#endpoints.runs.get(body) ?? 0) > 1) {
			judgement.repeated++;
		}

		const expected = answerTextOf(body);
		if (end === 'not-connected') {
			judgement.notConnected++;
			return;
		}

		const isTheStart = status !== 200 || expected.startsWith(received);
		judgement.wrongBytes += isTheStart ? 0 : 1;
		if (status === 200 && end === 'complete') {
			this.#judgeComplete(outcome, received === expected);
		} else if (isTheStart) {
			this.#judgeIncomplete(outcome);
		}
	}

	#judgeComplete({
		path, kind, body, isInstanceKilled,
	}: CallerOutcome, isWhole: boolean): void {
		const {judgement} = this;
		if (isWhole) {
			judgement.whole++;
			judgement.resumed += this.#endpoints.broken.has(body) && this.#resumablePaths.includes(path) ? 1 : 0;
		} else if (answerPlanOf(body).ending === 'between-events' || (kind === 'old' && isInstanceKilled)) {
			judgement.indistinguishable++;
		} else {
			judgement.wronglyComplete++;
		}
	}

	#judgeIncomplete({
		path, kind, body, answer: {status, end}, startedAt, isInstanceKilled,
	}: CallerOutcome): void {
		const {judgement} = this;
		const name = `${kind} ${end} ${status}`;
		judgement.otherAnswers[name] = (judgement.otherAnswers[name] ?? 0) + 1;
		const mayHaveMetCrash = this.#endpoints.crashes.some(at => at >= startedAt);
		const isBrokenUnread = !this.#endpoints.runs.has(body) && (endsPromised.has(status) || mayHaveMetCrash);
		if (isInstanceKilled || isBrokenUnread) {
			return;
		}

		if (!this.#endpoints.broken.has(body)) {
			judgement.lost++;
		} else if (this.#resumablePaths.includes(path)) {
			judgement.notResumed++;
		}
	}
}

function answerTextOf(body: string): string {
	return Array.from({length: answerPlanOf(body).events}, (_, index) => answerEvent(body, index + 1)).join('');
}
