/**
 * Joins the attempts at one completion into one answer. Only tokens of the newest attempt count, and only the token
 * that follows the last one passed on; an answer is whole only when the engine's end mark came.
 */
import {type EngineEvent} from '../../ports/model-engine.js';

/** What to do with an event. `restart` says that the attempt cannot go on from where the answer stands. */
export type RelayAction
	= | {kind: 'pass-on'; text: string}
		| {kind: 'whole'; finishReason: string; promptTokens: number; cachedTokens: number}
		| {kind: 'drop'}
		| {kind: 'restart'; detail: string};

/** The answer so far. It is never changed in place. */
export type RelayState = {
	attempt: number;
	/** Tokens passed on to the caller, over all attempts. */
	tokensPassedOn: number;
	whole: boolean;
	/** The weight version that the passed-on tokens come from; absent until an engine named one. */
	weightVersion?: string;
};

/** The answer before the first attempt. */
export const emptyAnswer: RelayState = {attempt: 0, tokensPassedOn: 0, whole: false};

/**
 * Starts the next attempt. Whatever older attempts still send is dropped from here on.
 *
 * @param state - The answer so far.
 * @returns The state with the number of the new attempt.
 */
export function beginAttempt(state: RelayState): RelayState {
	return {...state, attempt: state.attempt + 1};
}

/**
 * Judges one event of a stream.
 *
 * @param state - The answer so far.
 * @param attempt - The attempt that the event belongs to.
 * @param event - What the engine sent.
 * @returns The state behind the event, and what to do.
 */
export function relayEvent(state: RelayState, attempt: number, event: EngineEvent): {state: RelayState; action: RelayAction} {
	// A slow older attempt may still deliver after a newer one took over. Passing its tokens on would show the caller
	// words twice; the attempt number rules that out, since a number is never used again.
	if (attempt !== state.attempt || state.whole) {
		return {state, action: {kind: 'drop'}};
	}

	if (event.kind === 'started') {
		return relayStart(state, event.weightVersion);
	}

	if (event.kind === 'finished') {
		const {
			finishReason, promptTokens, cachedTokens, completionTokens,
		} = event;
		// An engine that left out its last token would still send the end mark, and the caller would take the answer for
		// whole. Its own count tells; 0 stands for an engine that gives none.
		if (completionTokens > 0 && completionTokens !== state.tokensPassedOn) {
			return {state, action: {kind: 'restart', detail: `the answer has ${completionTokens} tokens and ${state.tokensPassedOn} came`}};
		}

		return {
			state: {...state, whole: true}, action: {
				kind: 'whole', finishReason, promptTokens, cachedTokens,
			},
		};
	}

	if (event.firstIndex !== state.tokensPassedOn) {
		const detail = `token ${event.firstIndex} came where ${state.tokensPassedOn} was due`;
		return {state, action: {kind: 'restart', detail}};
	}

	return {
		state: {...state, tokensPassedOn: state.tokensPassedOn + event.count},
		action: {kind: 'pass-on', text: event.text},
	};
}

/**
 * Forgets what was passed on, so that the next attempt starts from the first token. Only a receiver that can take its
 * text back may ask for this.
 *
 * @param state - The answer so far.
 * @returns The state of an answer without a token; the attempt number goes on.
 */
export function forgetTokens(state: RelayState): RelayState {
	return {attempt: state.attempt, tokensPassedOn: 0, whole: false};
}

function relayStart(state: RelayState, weightVersion: string): {state: RelayState; action: RelayAction} {
	// After a weight swap the next engine would go on with other weights. The caller would read one answer whose two
	// halves come from two models; an answer that has begun therefore stays with the version it began under.
	if (state.tokensPassedOn > 0 && weightVersion !== state.weightVersion) {
		return {state, action: {kind: 'restart', detail: `the endpoint runs ${weightVersion}, the answer began under ${state.weightVersion ?? 'none'}`}};
	}

	return {state: {...state, weightVersion}, action: {kind: 'drop'}};
}
