/** The rows by which one call claims its key. Each claim of a call has a nonce of its own, by which it knows its rows. */
import {type ClaimRow} from './claim-row.js';
import {type ClaimedCall, type ClaimStep, type FoundClaim} from './claim-steps.js';

/** How long a claim stands before others may take it over. */
export const leaseMilliseconds = 5000;
/** How long a call may be under way; behind it a repeat is told that the outcome is unknown. */
export const sendingMilliseconds = 35_000;

export class OwnClaim {
	/** The configuration version that the claim is made under. */
	version: number;
	readonly #call: ClaimedCall;
	#round = 0;

	constructor(call: ClaimedCall) {
		this.#call = call;
		this.version = call.configurationVersion;
	}

	get #nonce(): string {
		return `${this.#call.nonce}/${this.#round}`;
	}

	/** Begins another claim: rows of the earlier one are not its own any more. */
	beginAgain(): void {
		this.#round++;
	}

	/** Tells whether a row that was found is this claim's. */
	isOwn(found: FoundClaim): boolean {
		return found.row.nonce === this.#nonce;
	}

	/** Gives the row of a stage. `leaseUntil` is in milliseconds since the epoch. */
	row(stage: ClaimRow['stage'], leaseUntil: number): ClaimRow {
		const {holder, bodyDigest} = this.#call;
		return {
			stage, nonce: this.#nonce, holder, leaseUntil, bodyDigest, configurationVersion: this.version,
		};
	}

	/** Gives the write that claims the key, if its row still has the revision. */
	claimStep(revision: number, now: number): ClaimStep {
		return {
			kind: 'write', row: this.row('claimed', now + leaseMilliseconds), revision, version: this.version,
		};
	}

	/** Gives the write behind which the call may be sent, if the claim's row still has the revision. */
	confirmStep(revision: number, now: number): ClaimStep {
		return {
			kind: 'write', row: this.row('sending', now + sendingMilliseconds), revision, version: this.version,
		};
	}
}
