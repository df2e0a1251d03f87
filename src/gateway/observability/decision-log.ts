/**
 * Structured lines on standard output, one for each decision that touches a request or changes what the process believes.
 *
 * Three failures are guarded against. A storm of refusals turns into a storm of lines that takes the processor from the
 * requests: each kind of line has a rate, and what is over it is counted and told with the next line of that kind, or by a
 * line of counts some seconds later. Lines on requests that went well push those on failures out of what a collector keeps:
 * all lines together have a rate in bytes, of which ordinary ends may take only a part. A reader that is slow makes writes
 * pile up: beyond a bound of bytes that wait, lines are dropped and counted, and no write is ever waited for.
 */
import {Buffer} from 'node:buffer';
import {type Writable} from 'node:stream';
import {type JsonValue} from '../../shared/types.js';
import {LineBudget, type LineRank} from './line-budget.js';

/** A kind of line; each has a rate of its own. */
export type DecisionKind
	= | 'started' | 'stopping' | 'stopped' | 'reloaded'
		| 'dependency-lost' | 'dependency-regained' | 'store-restored'
		| 'configuration-taken' | 'configuration-refused' | 'endpoint-appeared' | 'endpoint-vanished' | 'endpoint-unreadable'
		| 'request-served' | 'request-ended' | 'request-refused' | 'try-failed'
		| 'lease-taken' | 'lease-lost' | 'order-given' | 'order-failed' | 'weights-named'
		| 'store-parts' | 'event-loop-late' | 'left-out' | 'fault';

/** The fields of a line beside its kind and time. */
export type DecisionFields = Record<string, JsonValue | undefined>;

/** Lines of one kind and rank that are written in a second; a busy instance ends some dozens of requests in that time. */
const linesPerSecond = 50;
/**
 * Lines of one kind on failures that are written in a second. When two endpoints die at once, some 80 sends are cut in one
 * moment; at the rate of the other ranks 30 of them would have no line. 300 lines of a cut send, 320 bytes each, are
 * all that the budget has at once, and it bounds longer ones before this does.
 */
const failureLinesPerSecond = 300;
/** Bytes that may wait for a slow reader: a few seconds of lines. */
const mostWaitingBytes = 262_144;

/** Kinds about a single request; all others are about the process. */
const ranksOfRequests: ReadonlyMap<DecisionKind, LineRank> = new Map([
	['request-served', 'ordinary'], ['request-refused', 'refusal'], ['request-ended', 'failure'], ['try-failed', 'failure'],
]);

/**
 * How long counts of lines that were left out wait for a next line of their kind to tell them. Behind the last storm of a
 * quiet day there is none, and whoever counts lines would take those that were written for all. A `left-out` line tells them
 * after this time: 150 bytes in 5 s are 1% of the bytes, and a process that is killed takes no more than this with it.
 */
export const leftOutWaitMilliseconds = 5000;

/** Statuses from here on say that the request failed for a cause that is not its caller's. */
const firstServerError = 500;

type Rate = {second: number; written: number; left: number};

export class DecisionLog {
	readonly #output: Pick<Writable, 'write' | 'writableLength'>;
	readonly #identity: Record<string, string>;
	readonly #now: () => number;
	/** By kind and rank: when all endpoints are full, refused requests would use up the lines of those that broke off. */
	readonly #rates = new Map<string, Rate>();
	readonly #budget = new LineBudget();
	#telling: NodeJS.Timeout | undefined;

	/**
	 * @param output - Where lines go; standard output in a program.
	 * @param identity - Fields of every line but those of ordinary ends.
	 * @param now - Gives milliseconds since the epoch.
	 */
	constructor(output: Pick<Writable, 'write' | 'writableLength'>, identity: Record<string, string>, now: () => number) {
		this.#output = output;
		this.#identity = identity;
		this.#now = now;
	}

	/**
	 * Writes a line, or counts it if too many of its kind were written in this second or too many bytes of all kinds. The last
	 * line of a process is always written, behind the counts that are not told yet.
	 */
	record(kind: DecisionKind, fields: DecisionFields = {}): void {
		const now = this.#now();
		const rank = rankOf(kind, fields);
		if (kind === 'stopped') {
			this.#tellLeftOut(now);
			this.#write(kind, rank, fields, now);
			return;
		}

		const rate = this.#rateOf(`${kind} ${rank}`, Math.floor(now / 1000));
		if (rate.written >= mostLinesPerSecond(rank) || !this.#hasRoomFor(rank, now)) {
			rate.left++;
			this.#awaitTelling();
			return;
		}

		this.#write(kind, rank, rate.left === 0 ? fields : {...fields, leftOut: rate.left}, now);
		rate.written++;
		rate.left = 0;
	}

	#hasRoomFor(rank: LineRank, now: number): boolean {
		const isReaderBehind = this.#output.writableLength > mostWaitingBytes;
		return !isReaderBehind && this.#budget.hasRoomFor(rank, now);
	}

	/** The timer holds no process that is done otherwise, and one runs at a time however many lines are left out. */
	#awaitTelling(): void {
		if (this.#telling !== undefined) {
			return;
		}

		this.#telling = setTimeout(() => {
			this.#telling = undefined;
			const now = this.#now();
			if (this.#hasRoomFor('process', now)) {
				this.#tellLeftOut(now);
			} else {
				this.#awaitTelling();
			}
		}, leftOutWaitMilliseconds).unref();
	}

	/** Writes all counts that no line of their kind has told. */
	#tellLeftOut(now: number): void {
		const untold = [...this.#rates].filter(([, {left}]) => left > 0);
		if (untold.length === 0) {
			return;
		}

		this.#write('left-out', 'process', {counts: Object.fromEntries(untold.map(([name, {left}]) => [name, left]))}, now);
		for (const [, rate] of untold) {
			rate.left = 0;
		}
	}

	/** Ordinary ends are told without the identity, a seventh of their length: a collector knows the process that it reads from. */
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
			rate = {second, written: 0, left: 0};
			this.#rates.set(name, rate);
		}

		if (rate.second !== second) {
			rate.second = second;
			rate.written = 0;
		}

		return rate;
	}
}

function mostLinesPerSecond(rank: LineRank): number {
	return rank === 'failure' ? failureLinesPerSecond : linesPerSecond;
}

/**
 * Ranks a line. Requests that no endpoint took, and the endpoints' rejections that led there, come in storms like requests
 * refused from their heads, and are ranked with them. A request that ended whole is no failure, unless the endpoint answered
 * that it failed itself.
 */
function rankOf(kind: DecisionKind, {outcome, status}: DecisionFields): LineRank {
	const rank = ranksOfRequests.get(kind) ?? 'process';
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
