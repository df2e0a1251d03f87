/**
 * Structured logs with tslog: formatted text on a terminal, otherwise one JSON object per line. A log line never contains a
 * prompt, a key, or the name of a workspace other than the one that the line is about.
 */
import process from 'node:process';
import {Logger} from 'tslog';

/** The fields of every log line, event and metric of a process. */
export type ProcessIdentity = {
	program: string;
	instance: string;
	dataCentre: string;
};

export const logLevels = ['debug', 'info', 'warn', 'error'] as const;

/** The lowest level that is logged. */
export type LogLevel = (typeof logLevels)[number];

const tslogLevelNumbers: Record<LogLevel, number> = {
	debug: 2, info: 3, warn: 4, error: 5,
};

/** The logger for the components of a process. */
export type ProcessLogger = Logger<ProcessIdentity>;

/**
 * Creates the logger of a process. It writes to standard error, because standard output is for results.
 *
 * @param identity - The fields of every line.
 * @param level - The lowest level that is logged.
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
				process.stderr.write(`${JSON.stringify({...identity, ...flattenLine(line)})}\n`);
			}],
	});
}

function flattenLine(line: Record<string, unknown>): Record<string, unknown> {
	const {_meta: meta, 0: message, 1: fields} = line as {_meta: {logLevelName: string; date: Date}; 0?: unknown; 1?: unknown};
	const {_meta, ...only} = line;
	const isObject = (value: unknown): value is Record<string, unknown> => typeof value === 'object' && value !== null;
	return {
		time: meta.date, level: meta.logLevelName, ...(typeof message === 'string' ? {message} : only), ...(isObject(fields) ? fields : {}),
	};
}
