/**
 * Structured lines on standard output, one for each decision about a request and each change of the process's state.
 *
 * The log guards against three failures. Many refusals at once would produce as many lines, whose cost is CPU time that
 * requests need: each kind of line has a rate, and lines over it are counted; the count is part of the next line of that
 * kind, or of a line of counts some seconds later. Lines about successful requests would push those about failures out of
 * what a log collector retains: all lines together have a rate in bytes, of which ordinary requests get only a part. A slow
 * reader of the output would make writes pile up in memory: beyond a bound of queued bytes, lines are dropped and counted,
 * and the process never waits for a write.
 */
import {Buffer} from 'node:buffer';
import {type Writable} from 'node:stream';
import {type JsonValue} from '../../shared/types.js';
import {LineBudget, type LineRank} from './line-budget.js';

/** A kind of line; each kind has a rate of its own. */
export type DecisionKind
	= | 'started' | 'stopping' | 'stopped' | 'reloaded'
		| 'dependency-lost' | 'dependency-regained' | 'store-restored'
		| 'configuration-taken' | 'configuration-refused' | 'endpoint-appeared' | 'endpoint-vanished' | 'endpoint-unreadable' | 'endpoint-state' | 'endpoint-row-held'
		| 'connections-lost' | 'endpoints-unreachable' | 'endpoint-path' | 'service-brittle' | 'limit-named' | 'permit-granted' | 'leaving-announced' | 'rest-requested'
		| 'endpoint-warming' | 'evacuation-begun' | 'evacuation-ended'
		| 'request-served' | 'request-ended' | 'request-refused' | 'request-not-admitted' | 'request-blocked' | 'block-trial' | 'try-failed' | 'late-write' | 'answer-ended' | 'connection-limited' | 'connections-held-back'
		| 'request-over-share' | 'service-congested' | 'congestion-ended'
		| 'lease-taken' | 'lease-lost' | 'order-given' | 'order-failed' | 'weights-named'
		| 'store-parts' | 'queries-dropped' | 'event-loop-late' | 'left-out' | 'fault';

/** The fields of a line in addition to its kind, its time and the identity of the process. */
export type DecisionFields = Record<string, JsonValue | undefined>;

/** Lines of one kind and rank that may be written in a second; a busy instance completes some dozens of requests in it. */
const linesPerSecond = 50;
/**
 * Lines of one kind about failures that may be written in a second. When two endpoints fail at once, some 80 attempts are
 * cut at the same time; at the rate of the other ranks, 30 of them would have no line. 300 lines of a cut attempt, 320 bytes
 * each, use up the whole byte budget; longer lines reach that bound before this one.
 */
const failureLinesPerSecond = 300;
/** Bytes that may be queued for a slow reader: a few seconds of lines. */
const maxQueuedBytes = 262_144;

/** The ranks of kinds about a single request; all other kinds are about the process. */
const requestRanks: ReadonlyMap<DecisionKind, LineRank> = new Map([
	['request-served', 'ordinary'],
	['request-refused', 'refusal'],
	['connection-limited', 'refusal'],
	['request-blocked', 'refusal'],
	['request-not-admitted', 'refusal'],
	['block-trial', 'refusal'],
	['request-ended', 'failure'],
	['try-failed', 'failure'],
	['late-write', 'failure'],
	['answer-ended', 'failure'],
]);

/**
 * How long counts of lines that were left out wait for the next line of their kind. If no such line follows, a count of the
 * written lines would be taken for the number of all events, so a `left-out` line reports the counts after this time. Its
 * 150 bytes in 5 s are 1% of the byte rate, and a process that is killed loses the counts of this time at most.
 */
export const leftOutDelayMilliseconds = 5000;

/** Statuses from here on mean that the request failed for a reason other than the request itself. */
const firstServerError = 500;

type Rate = {second: number; written: number; leftOut: number};

export class DecisionLog {
	readonly #output: Pick<Writable, 'write' | 'writableLength'>;
	readonly #identity: Record<string, string>;
	readonly #now: () => number;
	/** By kind and rank: when all endpoints are full, refused requests would use up the lines of aborted ones. */
	readonly #rates = new Map<string, Rate>();
	readonly #budget = new LineBudget();
	#leftOutTimer: NodeJS.Timeout | undefined;

	/**
	 * @param output - Where lines are written; standard output in a program.
	 * @param identity - Fields of every line except those of ordinary requests.
	 * @param now - Returns milliseconds since the epoch.
	 */
	constructor(output: Pick<Writable, 'write' | 'writableLength'>, identity: Record<string, string>, now: () => number) {
		this.#output = output;
		this.#identity = identity;
		this.#now = now;
	}

	/**
	 * Writes a line, or counts it if too many of its kind were written in this second or too many bytes of all kinds. The last
	 * line of a process is always written, after the counts that are not reported yet.
	 */
	record(kind: DecisionKind, fields: DecisionFields = {}): void {
		const now = this.#now();
		const rank = rankOf(kind, fields);
		if (kind === 'stopped') {
			this.#writeLeftOut(now);
			this.#write(kind, rank, fields, now);
			return;
		}

		const rate = this.#rateOf(`${kind} ${rank}`, Math.floor(now / 1000));
		if (rate.written >= maxLinesPerSecond(rank) || !this.#hasRoomFor(rank, now)) {
			rate.leftOut++;
			this.#scheduleLeftOut();
			return;
		}

		this.#write(kind, rank, rate.leftOut === 0 ? fields : {...fields, leftOut: rate.leftOut}, now);
		rate.written++;
		rate.leftOut = 0;
	}

	#hasRoomFor(rank: LineRank, now: number): boolean {
		const isReaderBehind = this.#output.writableLength > maxQueuedBytes;
		return !isReaderBehind && this.#budget.hasRoomFor(rank, now);
	}

	/** Starts the timer unless it runs. It does not keep the process alive. */
	#scheduleLeftOut(): void {
		if (this.#leftOutTimer !== undefined) {
			return;
		}

		this.#leftOutTimer = setTimeout(() => {
			this.#leftOutTimer = undefined;
			const now = this.#now();
			if (this.#hasRoomFor('process', now)) {
				this.#writeLeftOut(now);
			} else {
				this.#scheduleLeftOut();
			}
		}, leftOutDelayMilliseconds).unref();
	}

	/** Writes a line with all counts that no line of their kind has reported. */
	#writeLeftOut(now: number): void {
		const unreported = [...this.#rates].filter(([, {leftOut: left}]) => left > 0);
		if (unreported.length === 0) {
			return;
		}

		this.#write('left-out', 'process', {counts: Object.fromEntries(unreported.map(([name, {leftOut: left}]) => [name, left]))}, now);
		for (const [, rate] of unreported) {
			rate.leftOut = 0;
		}
	}

	/** Lines of ordinary requests omit the identity, a seventh of their length: a collector knows which process it reads from. */
	#write(kind: DecisionKind, rank: LineRank, fields: DecisionFields, now: number): void {
		const identity = rank === 'ordinary' ? {} : this.#identity;
		const line = `${JSON.stringify({
			time: new Date(now).toISOString(), ...identity, kind, ...fields,
		})}\n`;
		this.#budget.spend(rank, Buffer.byteLength(line));
		this.#output.write(line);
	}

	#rateOf(name: string, second: number): Rate {
		let rate = this.#rates.get(name);
		if (rate === undefined) {
			rate = {second, written: 0, leftOut: 0};
			this.#rates.set(name, rate);
		}

		if (rate.second !== second) {
			rate.second = second;
			rate.written = 0;
		}

		return rate;
	}
}

function maxLinesPerSecond(rank: LineRank): number {
	return rank === 'failure' ? failureLinesPerSecond : linesPerSecond;
}

/**
 * Returns the rank of a line. Requests that no endpoint accepted, and the endpoints' rejections, are as many at a time as
 * requests that are refused because of their heads, and have the same rank. A request with a complete answer is no failure
 * unless its status says that the endpoint failed.
 */
function rankOf(kind: DecisionKind, {outcome, status}: DecisionFields): LineRank {
	const rank = requestRanks.get(kind) ?? 'process';
	if (rank !== 'failure') {
		return rank;
	}

	if (outcome === 'refused' || outcome === 'rejected') {
		return 'refusal';
	}

	return outcome === 'whole' && !isServerError(status) ? 'whole' : 'failure';
}

function isServerError(status: JsonValue | undefined): boolean {
	return typeof status === 'number' && status >= firstServerError;
}
