import {readFileSync} from 'node:fs';
import {parse} from 'yaml';
import {type Workload, workloadSchema} from './workload-schema.js';

/**
 * Reads a workload file.
 *
 * @param path - Where it stands.
 * @returns The workload.
 * @throws A `ZodError` that names every wrong member, or the error of reading the file.
 */
export function readWorkload(path: string): Workload {
	return workloadSchema.parse(parse(readFileSync(path, 'utf8')));
}
