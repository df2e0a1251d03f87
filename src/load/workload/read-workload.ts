import {readFileSync} from 'node:fs';
import {parse} from 'yaml';
import {type Workload, workloadSchema} from './workload-schema.js';

/**
 * Reads and validates a workload file.
 *
 * @param path - Path of the YAML file.
 * @returns The workload.
 * @throws `ZodError` that names every invalid key, or the error of reading or parsing the file.
 */
export function readWorkload(path: string): Workload {
	return workloadSchema.parse(parse(readFileSync(path, 'utf8')));
}
