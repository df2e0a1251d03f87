/**
 * Joins the attempts at one completion into one answer. A token is passed on only if it belongs to the newest attempt and
 * follows the last one passed on; an answer is complete only once the engine's final event has arrived.
 */
import {type EngineEvent} from '../../ports/model-engine.js';

/** What to do with an event. `restart`: the attempt cannot continue the answer from its current token. */
export type RelayAction
	= | {kind: 'pass-on'; text: string}
		| {kind: 'whole'; finishReason: string; promptTokens: number; cachedTokens: number}
		| {kind: 'drop'}
		| {kind: 'restart'; detail: string};

/** The answer so far; immutable. */
export type RelayState = {
	attempt: number;
	/** Tokens passed on to the caller, over all attempts. */
	tokensPassedOn: number;
	isComplete: boolean;
	/** The weight version that generated the tokens passed on; absent until an engine has named one. */
	weightVersion?: string;
};

/** The answer before the first attempt. */
export const emptyAnswer: RelayState = {attempt: 0, tokensPassedOn: 0, isComplete: false};

/**
 * Starts the next attempt. Later events of older attempts are dropped.
 *
 * @param state - The answer so far.
 * @returns The state with the number of the new attempt.
 */
export function beginAttempt(state: RelayState): RelayState {
	return {...state, attempt: state.attempt + 1};
}

/**
 * Decides what to do with an event of a stream.
 *
 * @param state - The answer so far.
 * @param attempt - The attempt that the event belongs to.
 * @param event - The engine's event.
 * @returns The state after the event, and what to do with it.
 */
export function relayEvent(state: RelayState, attempt: number, event: EngineEvent): {state: RelayState; action: RelayAction} {
	// A slow older attempt may still deliver tokens after a newer one has started, and passing them on would show the caller
	// words twice. The attempt number prevents that, as it is never reused.
	if (attempt !== state.attempt || state.isComplete) {
		return {state, action: {kind: 'drop'}};
	}

	if (event.kind === 'started') {
		return relayStart(state, event.weightVersion);
	}

	if (event.kind === 'finished') {
		const {
			finishReason, promptTokens, cachedTokens, completionTokens,
		} = event;
		// An engine that skipped its last token would still send the final event, and the caller would take the answer for
		// complete. The engine's own count shows it; 0 means that the engine reports no count.
		if (completionTokens > 0 && completionTokens !== state.tokensPassedOn) {
			return {state, action: {kind: 'restart', detail: `the answer has ${completionTokens} tokens, but ${state.tokensPassedOn} were received`}};
		}

		return {
			state: {...state, isComplete: true}, action: {
				kind: 'whole', finishReason, promptTokens, cachedTokens,
			},
		};
	}

	if (event.firstIndex !== state.tokensPassedOn) {
		const detail = `received token ${event.firstIndex}, expected token ${state.tokensPassedOn}`;
		return {state, action: {kind: 'restart', detail}};
	}

	return {
		state: {...state, tokensPassedOn: state.tokensPassedOn + event.count},
		action: {kind: 'pass-on', text: event.text},
	};
}

/**
 * Discards the tokens passed on, so that the next attempt starts from the first token. Call it only if the receiver can
 * discard the text that it has got.
 *
 * @param state - The answer so far.
 * @returns The state of an answer without tokens; the attempt number is kept.
 */
export function discardTokens(state: RelayState): RelayState {
	return {attempt: state.attempt, tokensPassedOn: 0, isComplete: false};
}

function relayStart(state: RelayState, weightVersion: string): {state: RelayState; action: RelayAction} {
	// After a change of weights the next engine would continue with other weights, and the two halves of the answer would come
	// from two models. A started answer therefore stays with the weight version that it was started with.
	if (state.tokensPassedOn > 0 && weightVersion !== state.weightVersion) {
		return {state, action: {kind: 'restart', detail: `the endpoint serves weights ${weightVersion}, the answer was started with ${state.weightVersion ?? 'none'}`}};
	}

	return {state: {...state, weightVersion}, action: {kind: 'drop'}};
}
