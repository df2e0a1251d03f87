/**
 * Structured logs by tslog: pretty on a terminal, one JSON object a line elsewhere. A log line never holds a prompt, a
 * key, or the name of a workspace other than the one that the line is about.
 */
import process from 'node:process';
import {Logger} from 'tslog';

/** What every line of a process carries. */
export type ProcessIdentity = {
	program: string;
	instance: string;
	dataCentre: string;
};

export const logLevels = ['debug', 'info', 'warn', 'error'] as const;

/** Lines below this level are left out. */
export type LogLevel = (typeof logLevels)[number];

const tslogLevelNumbers: Record<LogLevel, number> = {
	debug: 2, info: 3, warn: 4, error: 5,
};

/** The logger that the parts of a process are given. */
export type ProcessLogger = Logger<ProcessIdentity>;

/**
 * Makes the logger of a process.
 *
 * @param identity - What every line carries.
 * @param level - The least level that is written.
 * @returns The logger; it writes to standard error, so that standard output stays free for results.
 */
export function createLogger(identity: ProcessIdentity, level: LogLevel): ProcessLogger {
	return new Logger<ProcessIdentity>({
		name: identity.program,
		type: process.stderr.isTTY ? 'pretty' : 'hidden',
		minLevel: tslogLevelNumbers[level],
		hideLogPositionForProduction: true,
		attachedTransports: process.stderr.isTTY
			? []
			: [line => {
				process.stderr.write(`${JSON.stringify({...identity, ...flatLine(line)})}\n`);
			}],
	});
}

function flatLine(line: Record<string, unknown>): Record<string, unknown> {
	const {_meta: meta, 0: message, 1: fields} = line as {_meta: {logLevelName: string; date: Date}; 0?: unknown; 1?: unknown};
	const {_meta, ...only} = line;
	const isObject = (value: unknown): value is Record<string, unknown> => typeof value === 'object' && value !== null;
	return {
		time: meta.date, level: meta.logLevelName, ...(typeof message === 'string' ? {message} : only), ...(isObject(fields) ? fields : {}),
	};
}
