/**
 * Writes the final state of a claim and retries the write, up to a limit, while the table cannot be reached. The caller's
 * outcome waits for the first write only.
 */
import {type ClaimRow} from './claim-row.js';
import {
	type ClaimDecision, type ClaimEvent, type ClaimOutcome, type ClaimStep,
} from './claim-steps.js';

const maxWriteAttempts = 6;
const retryMilliseconds = 1000;

/** The final row to write, the revision that it replaces, and the caller's outcome after the first write. */
export type ClaimEnd = {row: ClaimRow; revision: number; outcome: ClaimOutcome | undefined};

export class ClaimClosing {
	readonly #end: ClaimEnd;
	#writeAttempts = 0;
	#isOver = false;

	constructor(end: ClaimEnd) {
		this.#end = end;
	}

	/** True once the final row is written or the last attempt has failed. */
	get isOver(): boolean {
		return this.#isOver;
	}

	/** Returns the first step. */
	start(): ClaimDecision {
		return {next: this.#write()};
	}

	/**
	 * Handles the result of the last step.
	 *
	 * @param event - The result.
	 * @returns The caller's outcome, after the first write, and the next step, if any.
	 */
	handle(event: ClaimEvent): ClaimDecision {
		if (event.kind === 'woken') {
			return {next: this.#write()};
		}

		const {outcome} = this.#end;
		const decision: ClaimDecision = this.#writeAttempts > 0 || outcome === undefined ? {} : {outcome};
		this.#writeAttempts++;
		// A conflict means that an earlier attempt of this write was applied: no other instance writes the row after `sending`.
		this.#isOver = event.kind === 'written' || event.kind === 'write-conflict' || this.#writeAttempts >= maxWriteAttempts;
		return this.#isOver ? decision : {...decision, next: {kind: 'wait', milliseconds: retryMilliseconds}};
	}

	#write(): ClaimStep {
		const {row, revision} = this.#end;
		return {kind: 'write', row, revision};
	}
}
