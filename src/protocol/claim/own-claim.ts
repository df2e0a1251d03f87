/** The rows that one call writes to claim its key. Each claim has its own nonce, which identifies its rows. */
import {type ClaimRow} from './claim-row.js';
import {type ClaimedCall, type ClaimStep, type FoundClaim} from './claim-steps.js';

/** The lease of a claim; other instances may take the claim over after it. */
export const leaseMilliseconds = 5000;
/** The longest time for which a call may be in flight; after it a duplicate call is answered with an unknown outcome. */
export const sendingMilliseconds = 35_000;

export class OwnClaim {
	/** The configuration version under which the claim is written. */
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

	/** Starts another claim with a new nonce: rows of the previous one no longer count as its own. */
	startNextRound(): void {
		this.#round++;
	}

	/** Returns whether a row was written by this claim. */
	isOwn(found: FoundClaim): boolean {
		return found.row.nonce === this.#nonce;
	}

	/** Returns the row for a stage. `leaseUntil` is in milliseconds since the epoch. */
	row(stage: ClaimRow['stage'], leaseUntil: number): ClaimRow {
		const {holder, bodyDigest} = this.#call;
		return {
			stage, nonce: this.#nonce, holder, leaseUntil, bodyDigest, configurationVersion: this.version,
		};
	}

	/** Returns the write that claims the key, if its row still has the revision. */
	claimStep(revision: number, now: number): ClaimStep {
		return {
			kind: 'write', row: this.row('claimed', now + leaseMilliseconds), revision, version: this.version,
		};
	}

	/** Returns the write after which the call may be sent; it applies only if the claim's row still has the revision. */
	confirmStep(revision: number, now: number): ClaimStep {
		return {
			kind: 'write', row: this.row('sending', now + sendingMilliseconds), revision, version: this.version,
		};
	}
}
