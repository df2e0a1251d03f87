/**
 * The queries of followers that are not answered at once.
 *
 * While the event loop is on time, a query is answered as soon as it is read. A query that was sent a while ago shows that more of
 * them wait unread in the sockets: these are read before the next answer, and `AnswerOrder` decides which of them is next.
 */
import {AnswerOrder} from '../../decision/overload/answer-order.js';
import {MessageAge} from '../../decision/overload/message-age.js';
import {type FollowerFrame} from './coordinator-messages.js';

export type QueryFrame = FollowerFrame & {kind: 'ask'};

/** A younger query is answered at once: garbage collection and other work of the process take some milliseconds. */
const minLagMilliseconds = 20;
/**
 * A follower waits 120 ms for an answer, and a mean round trip over 100 ms makes it take the coordinator for unresponsive. What is
 * left of the 120 ms covers the way back and the follower's own lag.
 */
const maxAgeMilliseconds = 100;
/** The interval of regular queries: a follower that has had no answer for twice as long takes the coordinator for unresponsive. */
const maxSilenceMilliseconds = 300;
/** After this time the sockets are read again, since newer queries go first. */
const sliceMilliseconds = 5;

/** What the queue needs from the server. */
export type QueryQueueDependencies<Follower> = {
	/** Milliseconds of the steady clock. */
	now: () => number;
	answer: (follower: Follower, frame: QueryFrame) => void;
	/** Called after queries have been dropped, with their number and the age of the oldest one. */
	recordDropped: (count: number, oldestMilliseconds: number) => void;
};

export class QueryQueue<Follower extends WeakKey> {
	readonly #dependencies: QueryQueueDependencies<Follower>;
	readonly #order = new AnswerOrder<Follower, QueryFrame>({maxAgeMilliseconds, maxSilenceMilliseconds});
	readonly #ages = new WeakMap<Follower, MessageAge>();
	#isScheduled = false;

	constructor(dependencies: QueryQueueDependencies<Follower>) {
		this.#dependencies = dependencies;
	}

	/** Answers a query, or keeps it until those that wait unread have been read. */
	receive(follower: Follower, frame: QueryFrame, now: number): void {
		const age = this.#ageOf(follower, frame.sentAt, now);
		if (this.#order.size === 0 && age < minLagMilliseconds) {
			this.#order.noteAnswer(follower, now);
			this.#dependencies.answer(follower, frame);
			return;
		}

		this.#order.add(follower, {query: frame, sentAt: now - age, mayDrop: mayDrop(frame)});
		this.#schedule();
	}

	/** Removes the queries of a follower whose connection has ended. */
	remove(follower: Follower): void {
		this.#order.remove(follower);
	}

	/** An earlier release does not say when it sent a query; the time in this queue counts nevertheless. */
	#ageOf(follower: Follower, sentAt: number | undefined, now: number): number {
		if (sentAt === undefined) {
			return 0;
		}

		let age = this.#ages.get(follower);
		if (age === undefined) {
			age = new MessageAge();
			this.#ages.set(follower, age);
		}

		return age.note(sentAt, now);
	}

	/** Immediates run after all sockets that were readable have been read. */
	#schedule(): void {
		if (!this.#isScheduled) {
			this.#isScheduled = true;
			setImmediate(() => {
				this.#isScheduled = false;
				this.#answerSlice();
			});
		}
	}

	#answerSlice(): void {
		const {now, answer, recordDropped} = this.#dependencies;
		const startedAt = now();
		let dropped = 0;
		let oldestMilliseconds = 0;
		for (let moment = startedAt; moment - startedAt < sliceMilliseconds; moment = now()) {
			const taken = this.#order.take(moment);
			if (taken === undefined) {
				break;
			}

			if (taken.isDropped) {
				dropped++;
				oldestMilliseconds = Math.max(oldestMilliseconds, moment - taken.sentAt);
			} else {
				answer(taken.follower, taken.query);
			}
		}

		if (dropped > 0) {
			recordDropped(dropped, oldestMilliseconds);
		}

		if (this.#order.size > 0) {
			this.#schedule();
		}
	}
}

/**
 * Whether nothing but a prompt's placement depends on the answer. A regular query lists no blocks; a permit or a slot counts as
 * granted here; lists of relays and of stream peers are asked for rarely.
 */
function mayDrop({about, permit, slot, wantsRelays = false, streamPeers}: QueryFrame): boolean {
	return about.keys.length > 0 && permit === undefined && slot === undefined && !wantsRelays && streamPeers === undefined;
}
