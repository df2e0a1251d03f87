/**
 * Decides what makes endpoints crash, from the requests that were in flight at each crash.
 *
 * A request is described by its features: its fingerprint, which only repetitions of it share, and the blocks of its prompt,
 * which other prompts may share. What crashes an endpoint comes again and ends one endpoint after another, and callers of other
 * requests lose their answers each time. Those are retried and may be present at the next crash, so a count for each feature
 * alone would take them for the cause. The crashes are attributed to as few features as possible instead: the feature that was
 * present at most crashes accounts for all of these, and another one must account for enough crashes that are left.
 *
 * Any answer may be half sent when its endpoint ends for another reason, so a block whose prompts were being answered needs more
 * crashes. Until then it accounts for those that it was present at, but is not blamed.
 */
import {type AnswerProgress} from './answer-progress.js';
import {isBlockFeature} from './request-features.js';

/** A request that was in flight at an endpoint when that crashed. */
export type RequestAtCrash = {
	/** What may have crashed the endpoint; features that have been cleared are left out. */
	features: ReadonlySet<string>;
	workspace: string;
	inFlightMilliseconds: number;
	progress: AnswerProgress;
};

/** One crash of an endpoint. */
export type Crash = {
	/** Identifies the incarnation of the endpoint that ended. */
	incarnation: string;
	/** In milliseconds since the epoch. */
	at: number;
	requests: readonly RequestAtCrash[];
};

/** What crashes endpoints: requests that have all of the features. */
export type CrashCause = {
	/** One fingerprint, or the blocks that no crash distinguishes yet. */
	features: readonly string[];
	/** The workspaces whose requests had them at the crashes. */
	workspaces: ReadonlySet<string>;
	/** The incarnations that ended. */
	incarnations: readonly string[];
};

/**
 * Crashes that a feature must account for before requests with it are blocked. Two can meet the same sound request by chance
 * when two endpoints fail one after the other and it is retried; each further crash costs the callers another endpoint.
 */
export const crashesToBlock = 3;

/** The same for a block of which each crash has met a prompt that was being answered. */
export const answeringCrashesToBlock = 5;

/** What one crash counts; the product of both limits is needed. */
const weights: Readonly<Record<AnswerProgress, number>> = {begun: answeringCrashesToBlock, unanswered: answeringCrashesToBlock, answering: crashesToBlock};
const weightToBlock = crashesToBlock * answeringCrashesToBlock;
const suspicionRanks: Readonly<Record<AnswerProgress, number>> = {begun: 0, unanswered: 1, answering: 2};

/**
 * Crashes that are closer to each other count as one where a block is concerned: endpoints that lose their power together are
 * likely to have prompts with a common block in flight.
 */
const separateMilliseconds = 250;

/** A feature that was present at crashes. */
type Candidate = {
	feature: string;
	/** By incarnation: the request with this feature that is the most likely to have crashed it. */
	crashes: Map<string, CandidateCrash>;
};

type CandidateCrash = {at: number; request: RequestAtCrash};

/**
 * Finds what crashes endpoints.
 *
 * Of several features that were present at equally many crashes, the one is chosen whose answers had just begun more often, then
 * the one that had been in flight for the shortest time: the endpoint had survived running the others for longer. If that is
 * wrong, the next crash, without the chosen feature, shows it. Features that the same requests had at all of these crashes cannot
 * be distinguished and are blocked together, so that a request with only some of them is still sent and shows which.
 *
 * @param crashes - The known crashes, one for each incarnation.
 * @returns The causes, in the order in which they were chosen; the same whatever the order of the crashes.
 */
export function findCrashCauses(crashes: Iterable<Crash>): CrashCause[] {
	const candidates = candidatesOf(crashes);
	const found: CrashCause[] = [];
	for (;;) {
		let best: Candidate | undefined;
		for (const candidate of candidates) {
			if (isConsidered(candidate) && (best === undefined || compareLikelihood(candidate, best) < 0)) {
				best = candidate;
			}
		}

		if (best === undefined) {
			return found;
		}

		const cause = causeOf(best);
		if (isSufficient(cause, best)) {
			found.push(cause);
		}

		for (const candidate of candidates) {
			for (const incarnation of cause.incarnations) {
				candidate.crashes.delete(incarnation);
			}
		}
	}
}

/**
 * Whether a cause keeps a request from endpoints.
 *
 * A workspace names the blocks of its prompts itself. One whose own prompts have crashed nothing is not concerned by the crashes of
 * a single other workspace, which could otherwise have its prompts refused by naming the same blocks.
 *
 * @param cause - The cause.
 * @param features - All features of the request.
 * @param workspace - The workspace that sends it.
 */
export function isBlockedBy({features: crashing, workspaces}: CrashCause, features: ReadonlySet<string>, workspace: string): boolean {
	const concernsWorkspace = workspaces.size > 1 || workspaces.has(workspace) || crashing.some(feature => !isBlockFeature(feature));
	return concernsWorkspace && crashing.every(feature => features.has(feature));
}

function candidatesOf(crashes: Iterable<Crash>): Candidate[] {
	const candidates = new Map<string, Candidate>();
	for (const {incarnation, at, requests} of crashes) {
		for (const request of requests) {
			for (const feature of request.features) {
				const candidate: Candidate = candidates.get(feature) ?? {feature, crashes: new Map()};
				const known = candidate.crashes.get(incarnation);
				if (known === undefined || compareSuspicion(request, known.request) < 0) {
					candidate.crashes.set(incarnation, {at, request});
				}

				candidates.set(feature, candidate);
			}
		}
	}

	return [...candidates.values()].filter(candidate => isConsidered(candidate));
}

/** Whether a feature was present at enough crashes to account for them. */
function isConsidered({feature, crashes}: Candidate): boolean {
	return crashes.size >= crashesToBlock && (!isBlockFeature(feature) || separateCrashes(crashes.values(), () => 1) >= crashesToBlock);
}

/** Whether the crashes that a cause accounts for suffice to blame it. */
function isSufficient({features}: CrashCause, {crashes}: Candidate): boolean {
	return features.some(feature => !isBlockFeature(feature)) || separateCrashes(crashes.values(), ({request}) => weights[request.progress]) >= weightToBlock;
}

/** Sums what crashes count; of those that are close to each other, the one that counts most. */
function separateCrashes(crashes: Iterable<CandidateCrash>, weightOf: (crash: CandidateCrash) => number): number {
	let sum = 0;
	let last = Number.NEGATIVE_INFINITY;
	let lastWeight = 0;
	for (const crash of [...crashes].toSorted((left, right) => left.at - right.at)) {
		const weight = weightOf(crash);
		if (crash.at - last >= separateMilliseconds) {
			last = crash.at;
			lastWeight = 0;
		}

		sum += Math.max(0, weight - lastWeight);
		lastWeight = Math.max(weight, lastWeight);
	}

	return sum;
}

function causeOf({feature, crashes}: Candidate): CrashCause {
	let common = new Set<string>();
	const requests = [...crashes.values()].map(({request}) => request);
	for (const [index, {features}] of requests.entries()) {
		common = index === 0 ? new Set(features) : new Set([...common].filter(shared => features.has(shared)));
	}

	// A fingerprint stands for all blocks of its request.
	const fingerprint = isBlockFeature(feature) ? [...common].find(shared => !isBlockFeature(shared)) : feature;
	return {
		features: fingerprint === undefined ? [...common].toSorted() : [fingerprint],
		workspaces: new Set(requests.map(({workspace}) => workspace)),
		incarnations: [...crashes.keys()],
	};
}

/** Below zero if the left request is the more likely one to have crashed its endpoint. All instances must choose the same. */
function compareSuspicion(left: RequestAtCrash, right: RequestAtCrash): number {
	return suspicionRanks[left.progress] - suspicionRanks[right.progress]
		|| left.inFlightMilliseconds - right.inFlightMilliseconds
		|| compareText(left.workspace, right.workspace)
		|| compareText([...left.features].join(' '), [...right.features].join(' '));
}

/** Below zero if the left candidate is the more likely cause. All instances must choose the same. */
function compareLikelihood(left: Candidate, right: Candidate): number {
	return right.crashes.size - left.crashes.size
		|| begunAnswers(right) - begunAnswers(left)
		|| inFlightMilliseconds(left) - inFlightMilliseconds(right)
		|| compareText(left.feature, right.feature);
}

function begunAnswers({crashes}: Candidate): number {
	return [...crashes.values()].filter(({request: {progress}}) => progress === 'begun').length;
}

function inFlightMilliseconds({crashes}: Candidate): number {
	let sum = 0;
	for (const {request} of crashes.values()) {
		sum += request.inFlightMilliseconds;
	}

	return sum;
}

function compareText(left: string, right: string): number {
	return left < right ? -1 : Number(left > right);
}
