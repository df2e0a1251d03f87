/** The steps that `ClaimMachine` asks for, their results, and the outcome for the caller. */
import {type Refusal} from '../../shared/types.js';
import {type ClaimRow, type RecordedAnswer} from './claim-row.js';

/** The call to claim, and the instance that claims it. */
export type ClaimedCall = {
	bodyDigest: string;
	/** Unique to this request. */
	nonce: string;
	holder: string;
	/** The path where the outcome can be queried later. */
	askAt: string;
	configurationVersion: number;
};

/** The claim's row as read, with its revision. */
export type FoundClaim = {
	row: ClaimRow;
	revision: number;
};

/**
 * The next step to carry out. `write` is applied only if the claim's row has `revision` (0 means that the row is absent) and,
 * where `version` is given, no newer configuration was accepted. `catch-up` reads and applies newer configuration changes.
 */
export type ClaimStep
	= | {kind: 'write'; row: ClaimRow; revision: number; version?: number}
		| {kind: 'read'}
		| {kind: 'catch-up'}
		| {kind: 'send'}
		| {kind: 'wait'; milliseconds: number};

/** The result of a step. `write-lost`: the write may have been applied, or may still be applied later. */
export type ClaimEvent
	= | {kind: 'written'}
		| {kind: 'write-conflict'; found?: FoundClaim; newerConfiguration: boolean}
		| {kind: 'write-unavailable'}
		| {kind: 'write-lost'}
		| {kind: 'read'; found?: FoundClaim}
		| {kind: 'read-failed'}
		| {kind: 'caught-up'; version: number; refusal?: Refusal}
		| {kind: 'answered'; answer: RecordedAnswer}
		| {kind: 'not-sent'; detail: string}
		| {kind: 'send-lost'}
		| {kind: 'woken'};

/** The outcome for the caller. */
export type ClaimOutcome
	= | {kind: 'answer'; answer: RecordedAnswer}
		| {kind: 'refusal'; refusal: Refusal};

/** The caller's outcome, which a machine returns at most once, and the next step, if any. */
export type ClaimDecision = {
	outcome?: ClaimOutcome;
	next?: ClaimStep;
};
