/** Processor time and memory of another process on this machine, read from the `/proc` file system of Linux. */
import {readFileSync} from 'node:fs';

const clockTicksPerSecond = 100;
const kilobytesPerMegabyte = 1024;

/**
 * Returns the processor time of a process.
 *
 * @param pid - The process id.
 * @returns Seconds of user and system time together, over all threads.
 */
export function processorSecondsOf(pid: number): number {
	const line = readFileSync(`/proc/${pid}/stat`, 'utf8');
	// The second field is the name of the program in parentheses and may contain spaces; user and system time are fields 14 and 15.
	const fields = line.slice(line.lastIndexOf(')') + 2).split(' ');
	return (Number(fields[11]) + Number(fields[12])) / clockTicksPerSecond;
}

/**
 * Returns the resident memory of a process.
 *
 * @param pid - The process id.
 * @returns Megabytes.
 */
export function residentMegabytesOf(pid: number): number {
	const status = readFileSync(`/proc/${pid}/status`, 'utf8');
	return Number(/^VmRSS:\s+(?<kilobytes>\d+)/mv.exec(status)?.groups?.kilobytes) / kilobytesPerMegabyte;
}
