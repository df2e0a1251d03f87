import {type Finding} from './types.js';

/**
 * Formats a finding as one line that starts with its place.
 *
 * @param finding - The finding.
 * @returns For example `split.yaml:4:3: unknown key "sharre"`, or `--port: must be a whole number`.
 * @example
 * formatFinding({place: {source: 'flag', name: '--port'}, message: 'is missing'}); // '--port: is missing'
 */
export function formatFinding(finding: Finding): string {
	const {place, message} = finding;
	const where = place.source === 'file' ? `${place.file}:${place.line}:${place.column}` : place.name;
	return `${where}: ${message}`;
}
