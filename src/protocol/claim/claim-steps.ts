/** What `ClaimMachine` and the shell around it say to each other: steps, how they ended, and what the caller gets. */
import {type Refusal} from '../../shared/types.js';
import {type ClaimRow, type RecordedAnswer} from './claim-row.js';

/** What is claimed, and for whom. */
export type ClaimedCall = {
	bodyDigest: string;
	/** Unique for this request; never used by another. */
	nonce: string;
	holder: string;
	/** Where the outcome can be asked later. */
	askAt: string;
	configurationVersion: number;
};

/** The claim's row as found. */
export type FoundClaim = {
	row: ClaimRow;
	revision: number;
};

/**
 * What the shell does next. `write` applies only if the claim's row has `revision` (0: is absent) and, where `version` is
 * given, no configuration change behind that version was accepted.
 */
export type ClaimStep
	= | {kind: 'write'; row: ClaimRow; revision: number; version?: number}
		| {kind: 'read'}
		| {kind: 'catch-up'}
		| {kind: 'send'}
		| {kind: 'wait'; milliseconds: number};

/** How a step ended. `write-lost`: applied, not applied, or still to be applied. */
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

/** What the caller gets. */
export type ClaimOutcome
	= | {kind: 'answer'; answer: RecordedAnswer}
		| {kind: 'refusal'; refusal: Refusal};

/** What follows from an event: the caller's outcome, at most once in a machine's life, and the next step, if any. */
export type ClaimDecision = {
	outcome?: ClaimOutcome;
	next?: ClaimStep;
};
