/** Judges a run of the check of crashing prompt blocks from what engines and callers saw. */
import {type BlockConditions} from './crashing-block-conditions.js';
import {contactMilliseconds} from './gateway-deployment.js';

/** A request with a crashing block that reached an engine. All times are in milliseconds of `performance.now()`. */
export type BlockArrival = {
	at: number;
	number: number;
	block: string;
	endpoint: string;
	/** The instance that the caller sent it to, and whether that was in touch. */
	instance: string;
	isInTouch: boolean;
};

/** An engine that ended under a request with a crashing block. */
export type BlockCrash = {at: number; number: number; block: string; endpoint: string; instance: string};

/** A request without a crashing block, over all tries of its caller. */
export type SoundRequest = {
	number: number;
	blocks: readonly string[];
	sentAt: number;
	/** Whether the instance of the first try was in touch. */
	isInTouch: boolean;
	/** Whether it holds the block that all crashing requests hold. */
	hasCompanion: boolean;
	/** Whether the first try got a byte of an answer. */
	hasBegun: boolean;
	isServed: boolean;
	/** The instances that refused it as crashing. */
	refusedAt: string[];
};

export type BlockRecord = {
	startedAt: number;
	arrivals: readonly BlockArrival[];
	crashes: readonly BlockCrash[];
	sound: readonly SoundRequest[];
	/** The attempts of requests that may run once which were refused as not run, and all attempts that ran. */
	refusedAttempts: readonly string[];
	ranAttempts: ReadonlySet<string>;
};

/** How many of some requests began at the first try. */
export type BegunShare = {requests: number; share: number | undefined};

export type BlockFindings = {
	/** Engines that ended under the block. */
	crashes: number;
	/** When it was to be stopped: the time of the fifth crash, in milliseconds from the start of the traffic. */
	stopDueAt: number | undefined;
	/** Arrivals later than the contact time after that, through instances in touch and through others. */
	lateArrivals: number;
	lateArrivalsOutOfTouch: number;
	/** Sound requests from twice the contact time after that on. */
	soundAfter: BegunShare;
	companionAfter: BegunShare;
};

export type BlockJudgement = {
	blocks: Record<string, BlockFindings>;
	/** Sound requests before the first crash, and from then on. */
	soundBefore: BegunShare;
	soundSince: BegunShare;
	sound: number;
	served: number;
	/** Sound requests that were refused as crashing. */
	wronglyRefused: number;
	/** Requests that may run once, have run, and were refused as not run. */
	refusedAfterRun: number;
	violations: string[];
};

/** Requests with a block that may still reach engines later than the contact time after the crash that should stop it. */
export const allowedLateArrivals = 3;
const minRelativeShare = 0.5;
/** Shares of fewer requests are not compared. */
const comparedFrom = 20;

/** Judges a run. */
export function judgeBlocks({crashingBlocks, crashesToStop}: BlockConditions, record: BlockRecord): BlockJudgement {
	const {
		startedAt, crashes, sound, refusedAttempts, ranAttempts,
	} = record;
	const firstCrashAt = crashes[0]?.at ?? Number.POSITIVE_INFINITY;
	const soundBefore = begunShare(sound.filter(({sentAt}) => sentAt < firstCrashAt));
	const blocks = Object.fromEntries(crashingBlocks.map(({id}) => [id, findingsOf(id, crashesToStop, record)]));
	const refusedAfterRun = refusedAttempts.filter(attempt => ranAttempts.has(attempt)).length;
	const refused = sound.filter(({refusedAt}) => refusedAt.length > 0);
	return {
		blocks,
		soundBefore,
		soundSince: begunShare(sound.filter(({sentAt}) => sentAt >= firstCrashAt)),
		sound: sound.length,
		served: sound.filter(({isServed}) => isServed).length,
		wronglyRefused: refused.length,
		refusedAfterRun,
		violations: [
			...Object.entries(blocks).flatMap(([id, findings]) => violationsOf(id, findings, soundBefore)),
			...(refusedAfterRun > 0 ? [`${refusedAfterRun} requests that had run were refused as not run`] : []),
			...refused.map(({number, blocks: held, refusedAt, sentAt}) => {
				const sentAfter = Math.round(sentAt - startedAt);
				return `sound request ${number} with ${held.join(',')}, sent at ${sentAfter} ms, was refused as crashing at ${refusedAt.join(', ')}`;
			}),
		],
	};
}

function findingsOf(id: string, crashesToStop: number, {startedAt, arrivals, crashes, sound}: BlockRecord): BlockFindings {
	const crashesOfBlock = crashes.filter(({block}) => block === id);
	const stopDueAt = crashesOfBlock[crashesToStop - 1]?.at;
	const late = arrivals.filter(({block, at}) => block === id && at > (stopDueAt ?? Number.POSITIVE_INFINITY) + contactMilliseconds);
	const calmFrom = (stopDueAt ?? crashesOfBlock.at(-1)?.at ?? Number.POSITIVE_INFINITY) + (2 * contactMilliseconds);
	const after = sound.filter(({sentAt, isInTouch}) => isInTouch && sentAt > calmFrom);
	return {
		crashes: crashesOfBlock.length,
		stopDueAt: stopDueAt === undefined ? undefined : Math.round(stopDueAt - startedAt),
		lateArrivals: late.filter(({isInTouch}) => isInTouch).length,
		lateArrivalsOutOfTouch: late.filter(({isInTouch}) => !isInTouch).length,
		soundAfter: begunShare(after),
		companionAfter: begunShare(after.filter(({hasCompanion}) => hasCompanion)),
	};
}

function violationsOf(id: string, {lateArrivals, soundAfter, companionAfter}: BlockFindings, before: BegunShare): string[] {
	return [
		...(lateArrivals > allowedLateArrivals ? [`${lateArrivals} requests with block ${id} reached engines too late`] : []),
		...(isTooRare(soundAfter, before) ? [`beside block ${id} ${soundAfter.share} of the sound requests began, ${before.share} before`] : []),
		...(isTooRare(companionAfter, before) ? [`beside block ${id} ${companionAfter.share} of the sound requests with its companion began, ${before.share} before`] : []),
	];
}

function isTooRare(after: BegunShare, before: BegunShare): boolean {
	const isCompared = after.requests >= comparedFrom && before.requests >= comparedFrom;
	return isCompared && (after.share ?? 0) < minRelativeShare * (before.share ?? 0);
}

function begunShare(requests: readonly SoundRequest[]): BegunShare {
	const begun = requests.filter(({hasBegun}) => hasBegun).length;
	return {requests: requests.length, share: requests.length === 0 ? undefined : Math.round(1000 * begun / requests.length) / 1000};
}
