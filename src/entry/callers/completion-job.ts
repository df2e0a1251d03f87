/** What a prompt to serve is made of, and where its answer goes. */
import {type RouteRequest} from '../../decision/routing/routing-policy.js';
import {type CompletionRequest} from './completion-request.js';

/** One prompt to serve. */
export type CompletionJob = {
	request: CompletionRequest;
	route: Omit<RouteRequest, 'avoid' | 'pieceKeys'>;
	dataCentres: readonly string[];
	prompt: string;
	arrivedAt: number;
	/** Aborts when the caller hangs up. */
	signal: AbortSignal;
};

/** Where the answer goes. */
export interface AnswerSink {
	/** Passes text on. Resolves when more can be taken. */
	pass(text: string): Promise<void>;
	/** Takes back all text passed on; false if the caller may have seen any of it. */
	takeBack(): boolean;
	/** Cuts a caller off who takes nothing any more. */
	abandon(): void;
}
