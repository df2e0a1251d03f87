/** Writes the log line of a request that is written late to its endpoint: its caller may have left without that having been read. */
import {type DecisionLog} from '../observability/decision-log.js';
import {type ConnectionUse} from './answer-transfer.js';

/** A request that is about to be written, and the times that make it late. */
export type RequestWrite = {
	id: string;
	endpoint: string;
	connection: ConnectionUse;
	/** Until the caller or the route times out. */
	leftMilliseconds: number;
	/** Since the endpoint was chosen. */
	openedMilliseconds: number;
	/** The lag of the event loop. */
	lagMilliseconds: number;
};

/** A request that is written this long after its endpoint was chosen, or after such a lag of the event loop, is late. */
const minLateMilliseconds = 200;

/** Writes the line if the request is late. */
export function logLateWrite(log: Pick<DecisionLog, 'record'>, {leftMilliseconds, openedMilliseconds, lagMilliseconds, ...write}: RequestWrite): void {
	if (leftMilliseconds > 0 && Math.max(openedMilliseconds, lagMilliseconds) < minLateMilliseconds) {
		return;
	}

	log.record('late-write', {
		...write,
		leftMilliseconds: Math.round(leftMilliseconds),
		openedMilliseconds: Math.round(openedMilliseconds),
		lagMilliseconds: Math.round(lagMilliseconds),
	});
}
