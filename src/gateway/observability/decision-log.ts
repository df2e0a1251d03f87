/**
 * Structured lines on standard output, one for each decision that touches a request or changes what the process believes.
 *
 * Two failures are guarded against. A storm of refusals turns into a storm of lines that takes the processor from the
 * requests: each kind of line has a rate, and what is over it is counted and told with the next line of that kind. A
 * reader that is slow makes writes pile up: beyond a bound of bytes that wait, lines are dropped and counted, and no write
 * is ever waited for.
 */
import {type Writable} from 'node:stream';
import {type JsonValue} from '../../shared/types.js';

/** A kind of line; each has a rate of its own. */
export type DecisionKind
	= | 'started' | 'stopping' | 'stopped' | 'reloaded'
		| 'dependency-lost' | 'dependency-regained'
		| 'configuration-taken' | 'configuration-refused' | 'endpoint-appeared' | 'endpoint-vanished' | 'endpoint-unreadable'
		| 'request-ended' | 'request-refused' | 'try-failed'
		| 'lease-taken' | 'lease-lost' | 'order-given' | 'order-failed' | 'weights-named'
		| 'store-parts' | 'fault';

/** The fields of a line beside its kind and time. */
export type DecisionFields = Record<string, JsonValue | undefined>;

/** Lines of one kind that are written in a second; a busy instance ends some dozens of requests in that time. */
const linesPerSecond = 50;
/** Bytes that may wait for a slow reader: a few seconds of lines. */
const mostWaitingBytes = 262_144;

type Rate = {second: number; written: number; left: number};

export class DecisionLog {
	readonly #output: Pick<Writable, 'write' | 'writableLength'>;
	readonly #identity: Record<string, string>;
	readonly #now: () => number;
	readonly #rates = new Map<DecisionKind, Rate>();

	/**
	 * @param output - Where lines go; standard output in a program.
	 * @param identity - Fields of every line.
	 * @param now - Gives milliseconds since the epoch.
	 */
	constructor(output: Pick<Writable, 'write' | 'writableLength'>, identity: Record<string, string>, now: () => number) {
		this.#output = output;
		this.#identity = identity;
		this.#now = now;
	}

	/** Writes a line, or counts it if too many of its kind were written in this second. */
	record(kind: DecisionKind, fields: DecisionFields = {}): void {
		const now = this.#now();
		const rate = this.#rateOf(kind, Math.floor(now / 1000));
		if (rate.written >= linesPerSecond || this.#output.writableLength > mostWaitingBytes) {
			rate.left++;
			return;
		}

		const leftOut = rate.left === 0 ? {} : {leftOut: rate.left};
		rate.written++;
		rate.left = 0;
		const line = {
			time: new Date(now).toISOString(), ...this.#identity, kind, ...fields, ...leftOut,
		};
		this.#output.write(`${JSON.stringify(line)}\n`);
	}

	#rateOf(kind: DecisionKind, second: number): Rate {
		let rate = this.#rates.get(kind);
		if (rate === undefined) {
			rate = {second, written: 0, left: 0};
			this.#rates.set(kind, rate);
		}

		if (rate.second !== second) {
			rate.second = second;
			rate.written = 0;
		}

		return rate;
	}
}
