/** What goes over the operators' HTTP for one line of the language, and what comes back. */
import {type LanguageError, type Row} from './statement.js';

/** The question. An act is only shown unless `confirmedAgainst` repeats the version that it was shown for. */
export type AskRequest = {
	statement: string;
	/** Who asks; needed for acts. */
	author?: string;
	confirmedAgainst?: number;
};

/** The answer. */
export type AskAnswer
	= | {kind: 'table'; instance: string; columns: string[]; rows: Row[]; notes: string[]}
		/** What an act would do; nothing was done. */
		| {kind: 'shown'; instance: string; plannedAgainst: number; lines: string[]}
		| {kind: 'done'; instance: string; lines: string[]}
		/** The act was not done, and why. */
		| {kind: 'not-done'; instance: string; lines: string[]}
		/** Whether the act was done is not known. */
		| {kind: 'unknown'; instance: string; lines: string[]}
		| {kind: 'error'; errors: LanguageError[]};
