/**
 * Writes the end of a claim: tried again while the table cannot be reached, up to a limit. The caller's outcome waits for
 * the first try only.
 */
import {type ClaimRow} from './claim-row.js';
import {
	type ClaimDecision, type ClaimEvent, type ClaimOutcome, type ClaimStep,
} from './claim-steps.js';

const tryLimit = 6;
const retryMilliseconds = 1000;

/** The end to write, and what the caller is told behind the first try. */
export type ClaimEnd = {row: ClaimRow; revision: number; outcome: ClaimOutcome | undefined};

export class ClaimClosing {
	readonly #end: ClaimEnd;
	#tries = 0;
	#isOver = false;

	constructor(end: ClaimEnd) {
		this.#end = end;
	}

	/** True once the end is written, or was given up. */
	get isOver(): boolean {
		return this.#isOver;
	}

	/** Gives the first step. */
	start(): ClaimDecision {
		return {next: this.#write()};
	}

	/**
	 * Takes how the last step ended.
	 *
	 * @param event - How it ended.
	 * @returns What follows.
	 */
	take(event: ClaimEvent): ClaimDecision {
		if (event.kind === 'woken') {
			return {next: this.#write()};
		}

		const {outcome} = this.#end;
		const told: ClaimDecision = this.#tries > 0 || outcome === undefined ? {} : {outcome};
		this.#tries++;
		// A conflict means that an earlier try of this same write was applied: nobody else writes behind `sending`.
		this.#isOver = event.kind === 'written' || event.kind === 'write-conflict' || this.#tries >= tryLimit;
		return this.#isOver ? told : {...told, next: {kind: 'wait', milliseconds: retryMilliseconds}};
	}

	#write(): ClaimStep {
		const {row, revision} = this.#end;
		return {kind: 'write', row, revision};
	}
}
