/** What the data path uses of the knowledge about crashes: reports what it lost and served, and asks what is blocked. */
import {isBlockFeature} from '../../decision/crashes/request-features.js';
import {type AnswerProgress} from '../../decision/crashes/answer-progress.js';
import {type MomentClock} from '../../ports/moment-clock.js';
import {type EndpointRecord, incarnationOf} from '../../shared/endpoint-record.js';
import {type EndpointRegistry} from '../endpoints/endpoint-registry.js';
import {type ProbeResult} from '../endpoints/probe-connection.js';
import {type DecisionLog} from '../observability/decision-log.js';
import {type GatewayMetrics} from '../observability/gateway-metrics.js';
import {AnsweredFeatures} from './answered-features.js';
import {CrashDetector, type LostRequest, type ObservedCrash} from './crash-detector.js';
import {type Block, type CrashLedger, type FeaturedRequest} from './crash-ledger.js';
import {keyOfTrial} from './crash-report-rows.js';
import {type CrashReport, type SurvivalReport, type TrialReport} from './crash-reports.js';
import {crashReport} from './crash-report-of.js';
import {featuresOf} from './report-evidence.js';

export type EndpointCrashesDependencies = {
	instance: string;
	clock: MomentClock;
	log: Pick<DecisionLog, 'record'>;
	metrics: Pick<GatewayMetrics, 'crashes'>;
	endpoints: Pick<EndpointRegistry, 'hasDeparted' | 'noteEnded'>;
	ledger: CrashLedger;
	probe(endpoint: EndpointRecord): Promise<ProbeResult>;
	/** Whether this instance has a connection to an endpoint that is open, as far as it has noticed. */
	hasOpenConnection(endpoint: EndpointRecord): boolean;
	/** Returns a random number from 0 up to 1. */
	random(): number;
	/** Records a report here and passes it on to the other instances. */
	publish(report: CrashReport | SurvivalReport): void;
	/** Records a trial under its key, unless an instance has done so before; returns whether this instance may make it. */
	claim(key: string, report: TrialReport): Promise<boolean>;
};

/** Longest delay of a report about answered requests. */
const maxSurvivalDelayMilliseconds = 300;
/** Features in a report about answered requests; the rest follows in the next one. */
const maxSurvivors = 256;
/** Pause between two claims of a trial, each of which is a call to the store that a request waits for. */
const claimPauseMilliseconds = 10_000;
/** Time for one connection attempt in a data centre. */
const verdictMilliseconds = 60;
/** Time for the reports of other instances to arrive: their delay, the write, and the queries by which they are relayed. */
const settleMilliseconds = 900;

export class EndpointCrashes {
	readonly #dependencies: EndpointCrashesDependencies;
	readonly #detector: CrashDetector;
	readonly #answered = new AnsweredFeatures();
	/** By incarnation: when this instance learned of its crash, in milliseconds of the steady clock. */
	readonly #knownAt = new Map<string, number>();
	/** What is blocked, and since when, in milliseconds of the steady clock. */
	#blocks: ReadonlyArray<{features: readonly string[]; since: number}> = [];
	/** What was cleared here and is still to be reported: by feature, the incarnations. */
	readonly #unreported = new Map<string, Set<string>>();
	readonly #signal = new AbortController().signal;
	/** In milliseconds of the steady clock. */
	#nextClaimAt = Number.NEGATIVE_INFINITY;
	#isScheduled = false;

	constructor(dependencies: EndpointCrashesDependencies) {
		this.#dependencies = dependencies;
		dependencies.ledger.onChange(added => {
			this.#update(added);
		});

		this.#detector = new CrashDetector({
			...dependencies,
			onCrash: crash => {
				this.#reportCrash(crash);
			},
		});
	}

	/** Whether the features of a request have to be computed to ask whether it is blocked. */
	get hasBlocks(): boolean {
		return this.#dependencies.ledger.blocks.length > 0;
	}

	/** Records that the connection of a request broke before its answer was complete. */
	noteLost(endpoint: EndpointRecord, request: LostRequest): void {
		this.#detector.noteLost(endpoint, request);
	}

	/**
	 * Records a complete answer to a request: it does not crash the endpoints that run it. Blocks that most prompts have, and
	 * requests that many callers send in the same words, are in flight at most crashes, so an earlier answer counts as well.
	 *
	 * @param sentAt - When the answered attempt was sent, in milliseconds of the steady clock.
	 */
	noteServed(features: ReadonlySet<string>, sentAt: number): void {
		this.#answered.note(features, sentAt);
		const {suspects} = this.#dependencies.ledger;
		if (suspects.size > 0) {
			this.#clear([...features].filter(feature => suspects.has(feature)));
			this.#noteBlocks();
		}
	}

	/**
	 * Whether an endpoint has crashed, as far as that is known soon after its connections broke. A crash that is found later does
	 * not keep callers waiting.
	 */
	async hasCrashed(endpoint: EndpointRecord): Promise<boolean> {
		const timeout = this.#dependencies.clock.sleep(verdictMilliseconds, this.#signal);
		return await Promise.race([this.#detector.verdictOf(endpoint), timeout]) === 'crashed';
	}

	/** Whether all blocks of a request were answered here lately, in whichever requests. */
	hasAnsweredBlocks(features: ReadonlySet<string>): boolean {
		return [...features].every(feature => !isBlockFeature(feature) || this.#answered.has(feature, this.#now()));
	}

	/** Why a request may not be sent to any endpoint; `undefined` if it may. */
	blockOf(request: FeaturedRequest): Block | undefined {
		const {ledger, clock} = this.#dependencies;
		return ledger.blockOf(request, clock.moment().wall);
	}

	/**
	 * Whether one request may be sent although it is blocked, to find out whether endpoints still crash on it. Of all instances one
	 * may, and only while the store answers.
	 */
	async mayTry({features, trials, nextTrialAt}: Block): Promise<boolean> {
		const {clock, claim, instance, log} = this.#dependencies;
		const {wall} = clock.moment();
		if (wall < nextTrialAt || this.#now() < this.#nextClaimAt) {
			return false;
		}

		this.#nextClaimAt = this.#now() + claimPauseMilliseconds;

		const report: TrialReport = {
			kind: 'trial', instance, at: wall, features: [...features],
		};
		const isClaimed = await claim(keyOfTrial(features, trials), report);
		log.record('block-trial', {features: [...features], trials, isClaimed});
		return isClaimed;
	}

	/** Whether a block is so recent that reports of answers at other instances may still arrive. */
	isUnsettled({features}: Block): boolean {
		const since = this.#blocks.find(({features: known}) => known.join(' ') === features.join(' '))?.since ?? Number.NEGATIVE_INFINITY;
		return this.#now() - since < settleMilliseconds;
	}

	#update(added: readonly CrashReport[]): void {
		const {ledger} = this.#dependencies;
		const now = this.#now();
		for (const incarnation of this.#knownAt.keys()) {
			if (!ledger.hasCrash(incarnation)) {
				this.#knownAt.delete(incarnation);
			}
		}

		for (const {incarnation} of added) {
			this.#knownAt.set(incarnation, this.#knownAt.get(incarnation) ?? now);
		}

		this.#clear(new Set(added.flatMap(report => featuresOf(report))));
		this.#noteBlocks();
	}

	/** Records since when each block exists. One that has lost a feature by a clearance is as old as before. */
	#noteBlocks(): void {
		const now = this.#now();
		const former = this.#blocks;
		this.#blocks = this.#dependencies.ledger.blocks.map(({features}) => ({
			features, since: former.find(({features: known}) => features.every(feature => known.includes(feature)))?.since ?? now,
		}));
	}

	/** Clears features of the crashes that answers here prove they have not caused. */
	#clear(features: Iterable<string>): void {
		const {ledger} = this.#dependencies;
		const {suspects} = ledger;
		for (const feature of features) {
			const cleared = [...suspects.get(feature) ?? []].filter(([incarnation, progress]) => this.#isCleared(feature, incarnation, progress)).map(([incarnation]) => incarnation);
			if (cleared.length > 0) {
				ledger.clear(feature, cleared);
				this.#unreported.set(feature, new Set([...this.#unreported.get(feature) ?? [], ...cleared]));
				this.#scheduleSurvivals();
			}
		}
	}

	/**
	 * Whether answers here prove that a feature has not crashed an incarnation. A block that was answered well may crash endpoints
	 * that have changed since, so where an answer with it had begun only a later one counts.
	 */
	#isCleared(feature: string, incarnation: string, progress: AnswerProgress): boolean {
		if (isBlockFeature(feature) && progress === 'begun') {
			return this.#answered.hasSince(feature, this.#knownAt.get(incarnation) ?? Number.POSITIVE_INFINITY);
		}

		return this.#answered.has(feature, this.#now());
	}

	/** Reports after a random delay: the first report of a feature makes those of other instances needless. */
	#scheduleSurvivals(): void {
		if (this.#isScheduled) {
			return;
		}

		this.#isScheduled = true;
		const {clock, random} = this.#dependencies;
		void clock.sleep(maxSurvivalDelayMilliseconds * random(), this.#signal).then(() => {
			this.#isScheduled = false;
			this.#reportSurvivals();
		});
	}

	#reportSurvivals(): void {
		const {ledger, instance, clock, publish} = this.#dependencies;
		const requests: Array<[string, string[]]> = [];
		for (const [feature, cleared] of this.#unreported) {
			const incarnations = [...cleared].filter(incarnation => !ledger.isReportedCleared(feature, incarnation));
			this.#unreported.delete(feature);
			if (incarnations.length > 0) {
				requests.push([feature, incarnations]);
			}

			if (requests.length >= maxSurvivors) {
				this.#scheduleSurvivals();
				break;
			}
		}

		if (requests.length > 0) {
			publish({
				kind: 'survival', instance, at: clock.moment().wall, requests,
			});
		}
	}

	#reportCrash({endpoint, requests}: ObservedCrash): void {
		const {
			instance, clock, metrics, publish, endpoints, ledger,
		} = this.#dependencies;
		endpoints.noteEnded(endpoint);
		metrics.crashes.inc();
		publish(crashReport({
			incarnation: incarnationOf(endpoint), instance, at: clock.moment().wall, requests,
		}, feature => this.#answered.has(feature, this.#now()), feature => ledger.suspects.has(feature)));
	}

	#now(): number {
		return this.#dependencies.clock.moment().steady;
	}
}
