/** The request and response bodies of `POST /operator/ask`, which executes one line of the operators' language. */
import {type LanguageError, type Row} from './statement.js';

/**
 * The request. A command is only previewed unless `confirmedAgainst` repeats the version of the configuration that it was
 * previewed for.
 */
export type StatementRequest = {
	statement: string;
	/** The person who sends the statement; required for commands. */
	author?: string;
	confirmedAgainst?: number;
};

/** The answer: a table, the preview or outcome of a command, or errors in the statement. */
export type StatementAnswer
	= | {kind: 'table'; instance: string; columns: string[]; rows: Row[]; notes: string[]}
		/** The preview of a command; nothing was done. */
		| {kind: 'shown'; instance: string; plannedAgainst: number; lines: string[]}
		| {kind: 'done'; instance: string; lines: string[]}
		/** The command was not carried out; the lines give the reason. */
		| {kind: 'not-done'; instance: string; lines: string[]}
		/** It is not known whether the command was carried out. */
		| {kind: 'unknown'; instance: string; lines: string[]}
		| {kind: 'error'; errors: LanguageError[]};
