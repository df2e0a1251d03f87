/**
 * The state machine of one non-idempotent call. Its runner carries out one step at a time and reports the result; the machine
 * itself uses no clock, socket or random numbers.
 *
 * A call goes through three writes: `claimed` (no other instance sends until the lease expires), `sending` (no other attempt
 * may ever send after this) and `recorded`. All of them are conditional on the revision of the claim's row, so a write by a
 * holder that was paused, or a write that was delayed in the network, fails once another instance has written the row.
 */
import {type Refusal} from '../../shared/types.js';
import {ClaimClosing} from './claim-closing.js';
import {type ClaimRow} from './claim-row.js';
import {
	type ClaimDecision, type ClaimedCall, type ClaimEvent, type ClaimOutcome, type FoundClaim,
} from './claim-steps.js';
import {OwnClaim} from './own-claim.js';
import {DuplicatePolling} from './duplicate-polling.js';
import {unsentOutcome} from './unsent-outcome.js';

const maxAttempts = 3;

type Phase = 'claiming' | 'confirming' | 'sending' | 'closing' | 'repeating' | 'done';

export class ClaimMachine {
	readonly #call: ClaimedCall;
	readonly #ownClaim: OwnClaim;
	readonly #duplicatePolling = new DuplicatePolling();
	#phase: Phase = 'claiming';
	/** The revision that the claim's row must have for the next write. */
	#revision = 0;
	#writeAttempts = 0;
	#catchUpCount = 0;
	#isCatchingUp = false;
	#hasSeenOtherClaim = false;
	#closing: ClaimClosing | undefined;

	constructor(call: ClaimedCall) {
		this.#call = call;
		this.#ownClaim = new OwnClaim(call);
	}

	/** True once no step follows. */
	get isDone(): boolean {
		return this.#phase === 'done';
	}

	/**
	 * Starts the claim.
	 *
	 * @param now - Milliseconds since the epoch.
	 * @returns The first step.
	 */
	start(now: number): ClaimDecision {
		return this.#claim(0, now);
	}

	/**
	 * Handles the result of the last step.
	 *
	 * @param event - The result.
	 * @param now - Milliseconds since the epoch.
	 * @returns The caller's outcome, once it is known, and the next step, if any.
	 */
	handle(event: ClaimEvent, now: number): ClaimDecision {
		if (this.#isCatchingUp) {
			return this.#handleCatchUp(event, now);
		}

		switch (this.#phase) {
			case 'claiming': {
				return this.#handleClaiming(event, now);
			}

			case 'confirming': {
				return this.#handleConfirming(event, now);
			}

			case 'sending': {
				return this.#handleSending(event, now);
			}

			case 'closing': {
				return this.#handleClosing(event);
			}

			case 'repeating': {
				return this.#handlePolling(event, now);
			}

			case 'done': {
				return {};
			}
		}
	}

	#claim(revision: number, now: number): ClaimDecision {
		this.#phase = 'claiming';
		this.#revision = revision;
		return {next: this.#ownClaim.claimStep(revision, now)};
	}

	#handleClaiming(event: ClaimEvent, now: number): ClaimDecision {
		if (event.kind === 'written') {
			return this.#confirm(this.#revision + 1, now);
		}

		if (event.kind === 'write-lost') {
			return {next: {kind: 'read'}};
		}

		if (event.kind === 'write-conflict' || event.kind === 'read') {
			return failedByNewerConfigurationOnly(event) ? this.#catchUp() : this.#decideAfterClaim(event.found, now);
		}

		// The claim is not confirmed, so the call was not sent. It will not be sent even if the lost write still reaches the
		// table: only this machine could confirm the claim, and it ends here.
		return this.#refuseUnsent('the platform\'s table cannot be reached');
	}

	/** Decides by the row as it stands after a claim that failed or whose answer was lost. */
	#decideAfterClaim(found: FoundClaim | undefined, now: number): ClaimDecision {
		if (found !== undefined && this.#ownClaim.isOwn(found)) {
			return this.#confirm(found.revision, now);
		}

		const isUnchanged = (found?.revision ?? 0) === this.#revision;
		if (!isUnchanged && found !== undefined) {
			return this.#decideByOtherClaim(found, now);
		}

		// The lost write was not applied so far. Writing it again is safe: only one of the two can be applied.
		this.#writeAttempts++;
		return this.#writeAttempts < maxAttempts ? this.#claim(this.#revision, now) : this.#refuseUnsent('the claim could not be written');
	}

	#confirm(revision: number, now: number): ClaimDecision {
		this.#phase = 'confirming';
		this.#revision = revision;
		// The lease may have expired while this process was paused, and another instance may have taken the claim over and
		// sent the call; sending it now would run it twice. The takeover changed the revision, so this write fails.
		return {next: this.#ownClaim.confirmStep(revision, now)};
	}

	#handleConfirming(event: ClaimEvent, now: number): ClaimDecision {
		if (event.kind === 'written') {
			return this.#send(this.#revision + 1);
		}

		if (event.kind === 'write-lost') {
			return {next: {kind: 'read'}};
		}

		if (event.kind === 'write-conflict' || event.kind === 'read') {
			return failedByNewerConfigurationOnly(event) ? this.#catchUp() : this.#decideAfterConfirm(event.found, now);
		}

		// If the answer to the confirming write is lost and the row cannot be read, the call must not be sent: another
		// instance may hold the claim. As it is not sent, `not-run` is correct; a duplicate call may get `unknown`.
		return this.#refuseUnsent('the claim could not be confirmed');
	}

	#decideAfterConfirm(found: FoundClaim | undefined, now: number): ClaimDecision {
		if (found !== undefined && this.#ownClaim.isOwn(found) && found.row.stage === 'sending') {
			return this.#send(found.revision);
		}

		if (found !== undefined && !this.#ownClaim.isOwn(found)) {
			return this.#decideByOtherClaim(found, now);
		}

		this.#writeAttempts++;
		return this.#writeAttempts < maxAttempts ? this.#confirm(this.#revision, now) : this.#refuseUnsent('the claim could not be confirmed');
	}

	#send(revision: number): ClaimDecision {
		this.#phase = 'sending';
		this.#revision = revision;
		return {next: {kind: 'send'}};
	}

	#handleSending(event: ClaimEvent, now: number): ClaimDecision {
		if (event.kind === 'answered') {
			const {answer} = event;
			return this.#close({...this.#ownClaim.row('recorded', now), answer}, {kind: 'answer', answer});
		}

		if (event.kind === 'not-sent') {
			return this.#close(this.#ownClaim.row('abandoned', now), unsentOutcome('no-endpoint', `the call was not sent: ${event.detail}`, 'not-run'));
		}

		const decision = this.#close(this.#ownClaim.row('unknown', now), undefined);
		return {...decision, outcome: this.#unknownOutcome('outcome-unknown', 'the call may have run; it will not be sent again')};
	}

	#close(row: ClaimRow, outcome: ClaimOutcome | undefined): ClaimDecision {
		this.#phase = 'closing';
		this.#closing = new ClaimClosing({row, revision: this.#revision, outcome});
		return this.#closing.start();
	}

	#handleClosing(event: ClaimEvent): ClaimDecision {
		const closing = this.#closing!;
		const decision = closing.handle(event);
		this.#phase = closing.isOver ? 'done' : 'closing';
		return decision;
	}

	#catchUp(): ClaimDecision {
		this.#catchUpCount++;
		if (this.#catchUpCount > maxAttempts) {
			return this.#refuseUnsent('the configuration changed too often during the claim', 'stale-configuration');
		}

		this.#isCatchingUp = true;
		return {next: {kind: 'catch-up'}};
	}

	#handleCatchUp(event: ClaimEvent, now: number): ClaimDecision {
		this.#isCatchingUp = false;
		if (event.kind !== 'caught-up' || event.version <= this.#ownClaim.version) {
			return this.#refuseUnsent('this instance does not have the newest configuration', 'stale-configuration');
		}

		this.#ownClaim.version = event.version;
		const isClaimed = this.#phase === 'confirming';
		if (event.refusal === undefined) {
			return isClaimed ? this.#confirm(this.#revision, now) : this.#claim(this.#revision, now);
		}

		const outcome: ClaimOutcome = {kind: 'refusal', refusal: event.refusal};
		return isClaimed ? this.#close(this.#ownClaim.row('abandoned', now), outcome) : this.#end(outcome);
	}

	/** Decides by a claim of another call with the same key: answer from it, wait for it, or take it over. */
	#decideByOtherClaim(found: FoundClaim, now: number): ClaimDecision {
		const {row, revision} = found;
		this.#hasSeenOtherClaim = true;
		this.#phase = 'repeating';
		if (row.bodyDigest !== this.#call.bodyDigest) {
			return this.#end(unsentOutcome('key-reused', 'this key was used for another call', 'not-run'));
		}

		if (row.stage === 'recorded') {
			return this.#end({kind: 'answer', answer: row.answer!});
		}

		if (row.stage === 'abandoned' || (row.stage === 'claimed' && row.leaseUntil < now)) {
			this.#ownClaim.startNextRound();
			this.#writeAttempts = 0;
			return this.#claim(revision, now);
		}

		if (row.stage === 'unknown' || (row.stage === 'sending' && row.leaseUntil < now)) {
			return this.#end(this.#unknownOutcome('outcome-unknown', 'the call may have run; it will not be sent again'));
		}

		return this.#waitForFirstCall(now);
	}

	#waitForFirstCall(now: number): ClaimDecision {
		const milliseconds = this.#duplicatePolling.nextDelay(now);
		return milliseconds === undefined
			? this.#end(this.#unknownOutcome('in-progress', 'another call with this key is in flight'))
			: {next: {kind: 'wait', milliseconds}};
	}

	#handlePolling(event: ClaimEvent, now: number): ClaimDecision {
		if (event.kind === 'woken') {
			return {next: {kind: 'read'}};
		}

		return event.kind === 'read' && event.found !== undefined
			? this.#decideByOtherClaim(event.found, now)
			: this.#end(this.#unknownOutcome('platform-unavailable', 'the state of the first call with this key cannot be read'));
	}

	/** Refuses a call that this machine did not send. If a claim of another call was seen, that call may have been sent. */
	#refuseUnsent(message: string, reason: 'platform-unavailable' | 'stale-configuration' = 'platform-unavailable'): ClaimDecision {
		return this.#end(this.#hasSeenOtherClaim ? this.#unknownOutcome(reason, message) : unsentOutcome(reason, `${message}; the call was not sent`, 'not-run'));
	}

	#unknownOutcome(reason: Refusal['reason'], message: string): ClaimOutcome {
		const {kind, refusal} = unsentOutcome(reason, message, 'unknown');
		return {kind, refusal: {...refusal, askAt: this.#call.askAt}};
	}

	#end(outcome: ClaimOutcome): ClaimDecision {
		this.#phase = 'done';
		return {outcome};
	}
}

function failedByNewerConfigurationOnly(event: ClaimEvent): boolean {
	return event.kind === 'write-conflict' && event.found === undefined && event.newerConfiguration;
}
