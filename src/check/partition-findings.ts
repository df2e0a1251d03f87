/** What is wrong with a run of partitioned instances, by the bounds that the platform states. */
import {type PartitionedInstancesReport, type ServedShare} from './partitioned-instances-over-processes.js';

/** Partitioned instances must serve at least this share of what the others serve. */
const minRatio = 2 / 3;

/** Returns one line for each finding. */
export function partitionFindings({partitioned, others, afterwards, repeated, reportedCrashes}: PartitionedInstancesReport): string[] {
	const findings: string[] = [];
	if (rateOf(partitioned) < minRatio * rateOf(others)) {
		findings.push(`partitioned instances served ${partitioned.served} of ${partitioned.sent}, the others ${others.served} of ${others.sent}`);
	}

	if (rateOf(afterwards) < minRatio * rateOf(others)) {
		findings.push(`after the partition they served ${afterwards.served} of ${afterwards.sent}`);
	}

	if (repeated.length > 0) {
		findings.push(`requests that may be sent once reached endpoints more than once: ${repeated.join(', ')}`);
	}

	if (reportedCrashes > 0) {
		findings.push(`${reportedCrashes} crashes of endpoints were reported, and none crashed`);
	}

	return findings;
}

function rateOf({sent, served}: ServedShare): number {
	return sent === 0 ? 1 : served / sent;
}
