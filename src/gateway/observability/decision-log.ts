/**
 * Structured lines on standard output, one for each decision that touches a request or changes what the process believes.
 *
 * Three failures are guarded against. A storm of refusals turns into a storm of lines that takes the processor from the
 * requests: each kind of line has a rate, and what is over it is counted and told with the next line of that kind. Lines on
 * requests that went well push those on failures out of what a collector keeps: all lines together have a rate in bytes, of
 * which ordinary ends may take only a part. A reader that is slow makes writes pile up: beyond a bound of bytes that wait,
 * lines are dropped and counted, and no write is ever waited for.
 */
import {Buffer} from 'node:buffer';
import {type Writable} from 'node:stream';
import {type JsonValue} from '../../shared/types.js';
import {LineBudget, type LineRank} from './line-budget.js';

/** A kind of line; each has a rate of its own. */
export type DecisionKind
	= | 'started' | 'stopping' | 'stopped' | 'reloaded'
		| 'dependency-lost' | 'dependency-regained'
		| 'configuration-taken' | 'configuration-refused' | 'endpoint-appeared' | 'endpoint-vanished' | 'endpoint-unreadable'
		| 'request-served' | 'request-ended' | 'request-refused' | 'try-failed'
		| 'lease-taken' | 'lease-lost' | 'order-given' | 'order-failed' | 'weights-named'
		| 'store-parts' | 'fault';

/** The fields of a line beside its kind and time. */
export type DecisionFields = Record<string, JsonValue | undefined>;

/** Lines of one kind that are written in a second; a busy instance ends some dozens of requests in that time. */
const linesPerSecond = 50;
/** Bytes that may wait for a slow reader: a few seconds of lines. */
const mostWaitingBytes = 262_144;

/** Kinds about a single request; all others are about the process. */
const ranksOfRequests: ReadonlyMap<DecisionKind, LineRank> = new Map([
	['request-served', 'ordinary'], ['request-refused', 'refusal'], ['request-ended', 'failure'], ['try-failed', 'failure'],
]);

type Rate = {second: number; written: number; left: number};

export class DecisionLog {
	readonly #output: Pick<Writable, 'write' | 'writableLength'>;
	readonly #identity: Record<string, string>;
	readonly #now: () => number;
	/** By kind and rank: when all endpoints are full, refused requests would use up the lines of those that broke off. */
	readonly #rates = new Map<string, Rate>();
	readonly #budget = new LineBudget();

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

	/** Writes a line, or counts it if too many of its kind were written in this second or too many bytes of all kinds. */
	record(kind: DecisionKind, fields: DecisionFields = {}): void {
		const now = this.#now();
		const rank = rankOf(kind, fields);
		const rate = this.#rateOf(`${kind} ${rank}`, Math.floor(now / 1000));
		if (rate.written >= linesPerSecond || this.#output.writableLength > mostWaitingBytes || !this.#budget.hasRoomFor(rank, now)) {
			rate.left++;
			return;
		}

		const line = this.#lineOf(kind, rank, rate.left === 0 ? fields : {...fields, leftOut: rate.left}, now);
		this.#budget.spend(Buffer.byteLength(line));
		rate.written++;
		rate.left = 0;
		this.#output.write(line);
	}

	/** Ordinary ends are told without the identity, a seventh of their length: a collector knows the process that it reads from. */
	#lineOf(kind: DecisionKind, rank: LineRank, fields: DecisionFields, now: number): string {
		const identity = rank === 'ordinary' ? {} : this.#identity;
		return `${JSON.stringify({
			time: new Date(now).toISOString(), ...identity, kind, ...fields,
		})}\n`;
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

/**
 * Requests that no endpoint took, and the endpoints' rejections that led there, come in storms like requests refused from
 * their heads, and are ranked with them.
 */
function rankOf(kind: DecisionKind, {outcome}: DecisionFields): LineRank {
	const rank = ranksOfRequests.get(kind) ?? 'process';
	return rank === 'failure' && (outcome === 'refused' || outcome === 'rejected') ? 'refusal' : rank;
}
