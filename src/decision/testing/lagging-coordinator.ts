/**
 * A coordinator that gets more queries than it can answer, in virtual time. Its followers behave as `CoordinatorClient`: they
 * send a query for each prompt unless the coordinator is unresponsive, and regular queries in between.
 */
import {seededRandom} from '../../peer/random/seeded-random.js';
import {type WaitingQuery} from '../overload/answer-order.js';
import {EventQueue} from './event-queue.js';

const regularIntervalMilliseconds = 300;
const minQueryGapMilliseconds = 150;
const waitMilliseconds = 120;
const maxRoundTripMilliseconds = 100;
const maxAnswerAgeMilliseconds = 570;
const newestShare = 0.3;
/** From the coordinator's write until the follower has read the answer. */
const travelMilliseconds = 5;
/** Processor time for an answer, and for a dropped query, of which only the report is applied. */
const answerMilliseconds = 0.45;
const dropMilliseconds = 0.1;

export type SimulatedQuery = {sentAt: number; isRegular: boolean};

/** An order in which queries are answered. */
export type SimulatedOrder = {
	add(follower: SimulatedFollower, entry: WaitingQuery<SimulatedQuery>): void;
	take(now: number): {follower: SimulatedFollower; query: SimulatedQuery; isDropped: boolean} | undefined;
};

export type LagOptions = {
	order: SimulatedOrder;
	/** Prompts a second of all followers together, as a function of the time in milliseconds. */
	promptsPerSecond: (now: number) => number;
	/** When the coordinator's process pauses, and for how long. */
	pauses?: Array<{at: number; milliseconds: number}>;
	followers?: number;
	seed?: number;
};

export type LagResult = {
	prompts: number;
	/** Share of the prompts that were placed with an answer. */
	answeredInTime: number;
	/** How long prompts waited, with or without an answer in the end. */
	meanWaitMilliseconds: number;
	/** Share of the prompts whose follower took the coordinator for unresponsive. */
	notAsked: number;
	/** The longest time for which a follower got no answer. */
	longestSilenceMilliseconds: number;
	dropped: number;
};

export class SimulatedFollower {
	lastAnswerAt = 0;
	lastQueryAt = Number.NEGATIVE_INFINITY;
	longestSilenceMilliseconds = 0;
	#roundTripMilliseconds = 1;

	isResponsive(now: number): boolean {
		return this.#roundTripMilliseconds <= maxRoundTripMilliseconds && now - this.lastAnswerAt <= maxAnswerAgeMilliseconds;
	}

	noteAnswer(sentAt: number, now: number): void {
		this.#roundTripMilliseconds = (newestShare * (now - sentAt)) + ((1 - newestShare) * this.#roundTripMilliseconds);
		this.longestSilenceMilliseconds = Math.max(this.longestSilenceMilliseconds, now - this.lastAnswerAt);
		this.lastAnswerAt = now;
	}
}

/** Plays a load, and returns what it came to. */
export function playLag({order, promptsPerSecond, pauses = [], followers: count = 130, seed = 1}: LagOptions, milliseconds: number): LagResult {
	const events = new EventQueue();
	const random = seededRandom(seed);
	const followers = Array.from({length: count}, () => new SimulatedFollower());
	let [prompts, inTime, notAsked, dropped, waited] = [0, 0, 0, 0, 0];
	let isBusy = false;

	const answerNext = (): void => {
		const pause = pauses.find(({at, milliseconds: length}) => events.now >= at && events.now < at + length);
		if (pause !== undefined) {
			isBusy = true;
			events.at(pause.at + pause.milliseconds, answerNext);
			return;
		}

		const taken = order.take(events.now);
		isBusy = taken !== undefined;
		if (taken === undefined) {
			return;
		}

		const {follower, query: {sentAt, isRegular}, isDropped} = taken;
		const endsAt = events.now + (isDropped ? dropMilliseconds : answerMilliseconds);
		events.at(endsAt, () => {
			if (isDropped) {
				dropped++;
			} else {
				follower.noteAnswer(sentAt, endsAt + travelMilliseconds);
			}

			const wait = endsAt + travelMilliseconds - sentAt;
			if (!isRegular) {
				inTime += !isDropped && wait <= waitMilliseconds ? 1 : 0;
				waited += isDropped ? waitMilliseconds : Math.min(wait, waitMilliseconds);
			}

			answerNext();
		});
	};

	const send = (follower: SimulatedFollower, isRegular: boolean): void => {
		follower.lastQueryAt = events.now;
		order.add(follower, {query: {sentAt: events.now, isRegular}, sentAt: events.now, mayDrop: !isRegular});
		if (!isBusy) {
			answerNext();
		}
	};

	const sendPrompt = (): void => {
		const follower = followers[Math.floor(random() * count)]!;
		prompts++;
		if (follower.isResponsive(events.now)) {
			send(follower, false);
		} else {
			notAsked++;
		}

		events.at(events.now - (1000 * Math.log(1 - random()) / promptsPerSecond(events.now)), sendPrompt);
	};

	for (const follower of followers) {
		const poll = (): void => {
			if (events.now - follower.lastQueryAt >= minQueryGapMilliseconds) {
				send(follower, true);
			}

			events.at(events.now + regularIntervalMilliseconds, poll);
		};

		events.at(random() * regularIntervalMilliseconds, poll);
	}

	events.at(0, sendPrompt);
	events.run(milliseconds);
	return {
		prompts,
		answeredInTime: inTime / prompts,
		meanWaitMilliseconds: waited / prompts,
		notAsked: notAsked / prompts,
		longestSilenceMilliseconds: Math.max(...followers.map(follower => follower.longestSilenceMilliseconds)),
		dropped,
	};
}
