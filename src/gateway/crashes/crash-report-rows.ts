/**
 * Encodes reports of crashes as rows of the store's table, and decodes them. Reports are written once and never changed. Members
 * that a version does not know are ignored, so that instances of two versions can share the table.
 *
 * They are in the table of the weights lease, which every instance follows: a table of their own would double the calls that
 * each instance makes for both whenever its reader fails, and those of the reader at all times.
 */
import {createHash} from 'node:crypto';
import * as zod from 'zod';
import {type JsonValue} from '../../shared/types.js';
import {type CrashReport, type Report, type SurvivalReport} from './crash-reports.js';

/** The table of the reports, beside other rows. */
export {weightsLeaseTable as crashTable} from '../leadership/weights-lease.js';

const digestLength = 16;

const reportSchema = zod.discriminatedUnion('kind', [
	zod.object({
		kind: zod.literal('crash'),
		incarnation: zod.string(),
		instance: zod.string(),
		at: zod.number(),
		requests: zod.array(zod.tuple([zod.string(), zod.number()])),
		prompts: zod.array(zod.object({
			fingerprint: zod.string(), workspace: zod.string(), hasBegun: zod.boolean(), isAnswering: zod.boolean().optional(), blocks: zod.array(zod.string()),
		})).optional(),
	}),
	zod.object({
		kind: zod.literal('survival'),
		instance: zod.string(),
		at: zod.number(),
		requests: zod.array(zod.tuple([zod.string(), zod.array(zod.string())])),
	}),
	zod.object({
		kind: zod.literal('trial'),
		instance: zod.string(),
		at: zod.number(),
		features: zod.array(zod.string()),
	}),
]);

/** Returns the key of a report's row: unique, since an instance makes no two reports about the same thing at the same time. */
export function keyOfReport(report: CrashReport | SurvivalReport): string {
	const subject = report.kind === 'crash' ? `crash/${report.incarnation}` : 'survival';
	return `${subject}/${report.instance}/${Math.round(report.at)}`;
}

/**
 * Returns the key of a trial's row: all instances have the same one for the next trial of a block, so that only one can write it.
 *
 * @param features - Those of the block.
 * @param number - How many trials there were before.
 */
export function keyOfTrial(features: readonly string[], number: number): string {
	return `trial/${createHash('sha256').update(features.join(' ')).digest('hex').slice(0, digestLength)}/${number}`;
}

/** Returns the content of a report's row. */
export function encodeReport(report: Report): JsonValue {
	return report;
}

/** Returns the report that a row holds; `undefined` for a row that cannot be decoded. */
export function decodeReport(content: JsonValue | undefined): Report | undefined {
	const checked = reportSchema.safeParse(content);
	return checked.success ? checked.data as Report : undefined;
}
