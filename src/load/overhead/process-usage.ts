/** What another process of this machine has used, as Linux tells it. */
import {readFileSync} from 'node:fs';

const clockTicksPerSecond = 100;
const kilobytesPerMegabyte = 1024;

/**
 * Gives the processor time of a process.
 *
 * @param pid - The process.
 * @returns Seconds, user and system together, of all its threads.
 */
export function processorSecondsOf(pid: number): number {
	const line = readFileSync(`/proc/${pid}/stat`, 'utf8');
	// The second field is the program's name in parentheses and may hold spaces; user and system time are fields 14, 15.
	const fields = line.slice(line.lastIndexOf(')') + 2).split(' ');
	return (Number(fields[11]) + Number(fields[12])) / clockTicksPerSecond;
}

/**
 * Gives the resident memory of a process.
 *
 * @param pid - The process.
 * @returns Megabytes.
 */
export function residentMegabytesOf(pid: number): number {
	const status = readFileSync(`/proc/${pid}/status`, 'utf8');
	return Number(/^VmRSS:\s+(?<kilobytes>\d+)/mv.exec(status)?.groups?.kilobytes) / kilobytesPerMegabyte;
}
