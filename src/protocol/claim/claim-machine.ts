/**
 * Decides, step by step, what is done for one call that may never run twice. The shell carries out one step at a time
 * and reports how it ended; the machine holds no clock, socket or randomness.
 *
 * A call goes through three writes: `claimed` (nobody else sends for now), `sending` (from here on nobody ever sends
 * again), and `recorded`. All of them are conditional on the revision of the claim's row, so a write of a holder that
 * was paused, or one that was under way for long, fails once somebody else has written.
 */
import {type Refusal} from '../../shared/types.js';
import {ClaimClosing} from './claim-closing.js';
import {type ClaimRow} from './claim-row.js';
import {
	type ClaimDecision, type ClaimedCall, type ClaimEvent, type ClaimOutcome, type FoundClaim,
} from './claim-steps.js';
import {OwnClaim} from './own-claim.js';
import {RepeatPatience} from './repeat-patience.js';
import {unsentOutcome} from './unsent-outcome.js';

const tryLimit = 3;

type Phase = 'claiming' | 'confirming' | 'sending' | 'closing' | 'repeating' | 'done';

export class ClaimMachine {
	readonly #call: ClaimedCall;
	readonly #own: OwnClaim;
	readonly #patience = new RepeatPatience();
	#phase: Phase = 'claiming';
	/** Revision that the claim's row must have for the next write. */
	#revision = 0;
	#tries = 0;
	#catchUps = 0;
	#isCatchingUp = false;
	#hasSeenOther = false;
	#closing: ClaimClosing | undefined;

	constructor(call: ClaimedCall) {
		this.#call = call;
		this.#own = new OwnClaim(call);
	}

	/** True once nothing more will be done. */
	get isDone(): boolean {
		return this.#phase === 'done';
	}

	/**
	 * Begins.
	 *
	 * @param now - Milliseconds since the epoch.
	 * @returns The first step.
	 */
	start(now: number): ClaimDecision {
		return this.#claim(0, now);
	}

	/**
	 * Takes how the last step ended.
	 *
	 * @param event - How it ended.
	 * @param now - Milliseconds since the epoch.
	 * @returns What follows.
	 */
	take(event: ClaimEvent, now: number): ClaimDecision {
		if (this.#isCatchingUp) {
			return this.#takeCatchUp(event, now);
		}

		switch (this.#phase) {
			case 'claiming': {
				return this.#takeClaiming(event, now);
			}

			case 'confirming': {
				return this.#takeConfirming(event, now);
			}

			case 'sending': {
				return this.#takeSending(event, now);
			}

			case 'closing': {
				return this.#takeClosing(event);
			}

			case 'repeating': {
				return this.#takeRepeating(event, now);
			}

			case 'done': {
				return {};
			}
		}
	}

	#claim(revision: number, now: number): ClaimDecision {
		this.#phase = 'claiming';
		this.#revision = revision;
		return {next: this.#own.claimStep(revision, now)};
	}

	#takeClaiming(event: ClaimEvent, now: number): ClaimDecision {
		if (event.kind === 'written') {
			return this.#confirm(this.#revision + 1, now);
		}

		if (event.kind === 'write-lost') {
			return {next: {kind: 'read'}};
		}

		if (event.kind === 'write-conflict' || event.kind === 'read') {
			return isOnlyNewerConfiguration(event) ? this.#catchUp() : this.#judgeClaim(event.found, now);
		}

		// Nothing was confirmed, so this attempt was not sent. It never will be, even if the lost claim still arrives at
		// the table: only this machine could confirm it, and it ends here.
		return this.#refuseUnsent('the platform\'s table cannot be reached');
	}

	/** Judges the row behind a claim that failed or whose answer was lost. */
	#judgeClaim(found: FoundClaim | undefined, now: number): ClaimDecision {
		if (found !== undefined && this.#own.isOwn(found)) {
			return this.#confirm(found.revision, now);
		}

		const isUnchanged = (found?.revision ?? 0) === this.#revision;
		if (!isUnchanged && found !== undefined) {
			return this.#judgeOther(found, now);
		}

		// The lost claim was not applied yet. Writing it again is harmless: of the two, one is applied.
		this.#tries++;
		return this.#tries < tryLimit ? this.#claim(this.#revision, now) : this.#refuseUnsent('the claim could not be written');
	}

	#confirm(revision: number, now: number): ClaimDecision {
		this.#phase = 'confirming';
		this.#revision = revision;
		// The lease may have lapsed while this process was paused, and another may have taken the claim over and sent
		// the call. Sending then would be the second run. The take-over changed the revision, so this write fails.
		return {next: this.#own.confirmStep(revision, now)};
	}

	#takeConfirming(event: ClaimEvent, now: number): ClaimDecision {
		if (event.kind === 'written') {
			return this.#send(this.#revision + 1);
		}

		if (event.kind === 'write-lost') {
			return {next: {kind: 'read'}};
		}

		if (event.kind === 'write-conflict' || event.kind === 'read') {
			return isOnlyNewerConfiguration(event) ? this.#catchUp() : this.#judgeConfirm(event.found, now);
		}

		// A confirm whose answer was lost and that cannot be read back must not be sent: somebody else may hold the
		// claim. Since it is not sent, `not-run` is true; a repeat may be told `unknown`.
		return this.#refuseUnsent('the right to send could not be confirmed');
	}

	#judgeConfirm(found: FoundClaim | undefined, now: number): ClaimDecision {
		if (found !== undefined && this.#own.isOwn(found) && found.row.stage === 'sending') {
			return this.#send(found.revision);
		}

		if (found !== undefined && !this.#own.isOwn(found)) {
			return this.#judgeOther(found, now);
		}

		this.#tries++;
		return this.#tries < tryLimit ? this.#confirm(this.#revision, now) : this.#refuseUnsent('the right to send could not be confirmed');
	}

	#send(revision: number): ClaimDecision {
		this.#phase = 'sending';
		this.#revision = revision;
		return {next: {kind: 'send'}};
	}

	#takeSending(event: ClaimEvent, now: number): ClaimDecision {
		if (event.kind === 'answered') {
			const {answer} = event;
			return this.#close({...this.#own.row('recorded', now), answer}, {kind: 'answer', answer});
		}

		if (event.kind === 'not-sent') {
			return this.#close(this.#own.row('abandoned', now), unsentOutcome('no-endpoint', `the call was not sent: ${event.detail}`, 'not-run'));
		}

		const decision = this.#close(this.#own.row('unknown', now), undefined);
		return {...decision, outcome: this.#unknown('outcome-unknown', 'the call may have run; it will not be sent again')};
	}

	#close(row: ClaimRow, outcome: ClaimOutcome | undefined): ClaimDecision {
		this.#phase = 'closing';
		this.#closing = new ClaimClosing({row, revision: this.#revision, outcome});
		return this.#closing.start();
	}

	#takeClosing(event: ClaimEvent): ClaimDecision {
		const closing = this.#closing!;
		const decision = closing.take(event);
		this.#phase = closing.isOver ? 'done' : 'closing';
		return decision;
	}

	#catchUp(): ClaimDecision {
		this.#catchUps++;
		if (this.#catchUps > tryLimit) {
			return this.#refuseUnsent('the configuration changes too fast', 'stale-configuration');
		}

		this.#isCatchingUp = true;
		return {next: {kind: 'catch-up'}};
	}

	#takeCatchUp(event: ClaimEvent, now: number): ClaimDecision {
		this.#isCatchingUp = false;
		if (event.kind !== 'caught-up' || event.version <= this.#own.version) {
			return this.#refuseUnsent('this instance has not the newest configuration', 'stale-configuration');
		}

		this.#own.version = event.version;
		const isClaimed = this.#phase === 'confirming';
		if (event.refusal === undefined) {
			return isClaimed ? this.#confirm(this.#revision, now) : this.#claim(this.#revision, now);
		}

		const outcome: ClaimOutcome = {kind: 'refusal', refusal: event.refusal};
		return isClaimed ? this.#close(this.#own.row('abandoned', now), outcome) : this.#end(outcome);
	}

	/** Judges the claim of somebody else: answer from it, wait for it, or take it over. */
	#judgeOther(found: FoundClaim, now: number): ClaimDecision {
		const {row, revision} = found;
		this.#hasSeenOther = true;
		this.#phase = 'repeating';
		if (row.bodyDigest !== this.#call.bodyDigest) {
			return this.#end(unsentOutcome('key-reused', 'this key was used for another call', 'not-run'));
		}

		if (row.stage === 'recorded') {
			return this.#end({kind: 'answer', answer: row.answer!});
		}

		if (row.stage === 'abandoned' || (row.stage === 'claimed' && row.leaseUntil < now)) {
			this.#own.beginAgain();
			this.#tries = 0;
			return this.#claim(revision, now);
		}

		if (row.stage === 'unknown' || (row.stage === 'sending' && row.leaseUntil < now)) {
			return this.#end(this.#unknown('outcome-unknown', 'the call may have run; it will not be sent again'));
		}

		return this.#waitFor(now);
	}

	#waitFor(now: number): ClaimDecision {
		const milliseconds = this.#patience.nextPause(now);
		return milliseconds === undefined
			? this.#end(this.#unknown('in-progress', 'another call under this key is under way'))
			: {next: {kind: 'wait', milliseconds}};
	}

	#takeRepeating(event: ClaimEvent, now: number): ClaimDecision {
		if (event.kind === 'woken') {
			return {next: {kind: 'read'}};
		}

		return event.kind === 'read' && event.found !== undefined
			? this.#judgeOther(event.found, now)
			: this.#end(this.#unknown('platform-unavailable', 'the first call under this key cannot be looked up'));
	}

	/** This attempt was not sent and never will be. An earlier one under the key may have been, if one was seen. */
	#refuseUnsent(message: string, reason: 'platform-unavailable' | 'stale-configuration' = 'platform-unavailable'): ClaimDecision {
		return this.#end(this.#hasSeenOther ? this.#unknown(reason, message) : unsentOutcome(reason, `${message}; the call was not sent`, 'not-run'));
	}

	#unknown(reason: Refusal['reason'], message: string): ClaimOutcome {
		const {kind, refusal} = unsentOutcome(reason, message, 'unknown');
		return {kind, refusal: {...refusal, askAt: this.#call.askAt}};
	}

	#end(outcome: ClaimOutcome): ClaimDecision {
		this.#phase = 'done';
		return {outcome};
	}
}

function isOnlyNewerConfiguration(event: ClaimEvent): boolean {
	return event.kind === 'write-conflict' && event.found === undefined && event.newerConfiguration;
}
