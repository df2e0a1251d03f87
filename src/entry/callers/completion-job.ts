/** A prompt to serve, and the interface that receives its answer. */
import {type RouteRequest} from '../../decision/routing/routing-policy.js';
import {type CompletionRequest} from './completion-request.js';

/** One prompt to serve. */
export type CompletionJob = {
	request: CompletionRequest;
	route: Omit<RouteRequest, 'avoid' | 'pieceKeys'>;
	dataCentres: readonly string[];
	prompt: string;
	arrivedAt: number;
	/** Aborts when the caller disconnects or the request is cancelled. */
	signal: AbortSignal;
	/** Checks whether the caller has disconnected, also shortly before the signal tells. */
	hasCallerDisconnected(): Promise<boolean>;
};

/** Receives the answer of a prompt. */
export interface AnswerSink {
	/** Writes text to the answer. Resolves when more can be written. */
	write(text: string): Promise<void>;
	/** Discards all text written so far; returns false if the caller may have received any of it. */
	discard(): boolean;
	/** Closes the connection of a caller that has stopped reading. */
	disconnect(): void;
}
