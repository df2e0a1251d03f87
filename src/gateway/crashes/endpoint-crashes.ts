/** What the data path uses of the knowledge about crashes: reports what it lost and served, and asks what is blocked. */
import {type MomentClock} from '../../ports/moment-clock.js';
import {type EndpointRecord, incarnationOf} from '../../shared/endpoint-record.js';
import {type EndpointRegistry} from '../endpoints/endpoint-registry.js';
import {type ProbeResult} from '../endpoints/probe-connection.js';
import {type DecisionLog} from '../observability/decision-log.js';
import {type GatewayMetrics} from '../observability/gateway-metrics.js';
import {CrashDetector, type LostRequest, type ObservedCrash} from './crash-detector.js';
import {
	type Block, type CrashLedger, maxRequestsPerReport, type Report,
} from './crash-ledger.js';

export type EndpointCrashesDependencies = {
	instance: string;
	clock: MomentClock;
	log: Pick<DecisionLog, 'record'>;
	metrics: Pick<GatewayMetrics, 'crashes'>;
	endpoints: Pick<EndpointRegistry, 'hasDeparted' | 'noteEnded'>;
	ledger: CrashLedger;
	probe(endpoint: EndpointRecord): Promise<ProbeResult>;
	/** Returns a random number from 0 up to 1. */
	random(): number;
	/** Records a report here and passes it on to the other instances. */
	publish(report: Report): void;
};

/** How many answered requests are remembered: those of some minutes at an instance that answers 16 a second. */
const maxServed = 4096;
/** How long an answer proves that its request crashes nothing; endpoints may get other software or weights later. */
const servedValidityMilliseconds = 600_000;
/** Longest delay of a report about answered requests. */
const maxSurvivalDelayMilliseconds = 300;
/** Time for the reports of other instances to arrive: their delay, the write, and the queries by which they are relayed. */
const settleMilliseconds = 900;

export class EndpointCrashes {
	readonly #dependencies: EndpointCrashesDependencies;
	readonly #detector: CrashDetector;
	/** Requests that were answered completely here, the latest last: when that was, in milliseconds of the steady clock. */
	readonly #served = new Map<string, number>();
	readonly #signal = new AbortController().signal;
	/** When a blocked request was first asked for, in milliseconds of the steady clock. */
	readonly #blockedAt = new Map<string, number>();
	#isScheduled = false;

	constructor(dependencies: EndpointCrashesDependencies) {
		this.#dependencies = dependencies;
		dependencies.ledger.onChange(() => {
			this.#scheduleSurvivals();
		});

		this.#detector = new CrashDetector({
			...dependencies,
			onCrash: crash => {
				this.#reportCrash(crash);
			},
		});
	}

	/** Whether a fingerprint has to be computed to ask whether its request is blocked. */
	get hasBlocks(): boolean {
		return this.#dependencies.ledger.hasBlocks;
	}

	/** Records that the connection of a request broke before its answer was complete. */
	noteLost(endpoint: EndpointRecord, request: LostRequest): void {
		this.#detector.noteLost(endpoint, request);
	}

	/**
	 * Records a complete answer to a request: it does not crash the endpoints that run it. A request that many callers send in
	 * the same words is in flight at most crashes, so an earlier answer counts at later crashes too.
	 */
	noteServed(fingerprint: string): void {
		this.#served.delete(fingerprint);
		this.#served.set(fingerprint, this.#now());
		if (this.#served.size > maxServed) {
			this.#served.delete(this.#served.keys().next().value!);
		}

		if (this.#dependencies.ledger.suspects.has(fingerprint)) {
			this.#scheduleSurvivals();
		}
	}

	/** Why a request may not be sent to any endpoint; `undefined` if it may. */
	blockOf(fingerprint: string): Block | undefined {
		const {ledger, clock} = this.#dependencies;
		return this.#wasServed(fingerprint) ? undefined : ledger.blockOf(fingerprint, clock.moment().wall);
	}

	/** Whether a request was blocked so recently that reports of its answers at other instances may still arrive. */
	isUnsettled(fingerprint: string): boolean {
		if (this.blockOf(fingerprint) === undefined) {
			this.#blockedAt.delete(fingerprint);
			return false;
		}

		const blockedAt = this.#blockedAt.get(fingerprint) ?? this.#now();
		this.#blockedAt.set(fingerprint, blockedAt);
		if (this.#blockedAt.size > maxServed) {
			this.#blockedAt.delete(this.#blockedAt.keys().next().value!);
		}

		return this.#now() - blockedAt < settleMilliseconds;
	}

	#wasServed(fingerprint: string): boolean {
		return this.#now() - (this.#served.get(fingerprint) ?? Number.NEGATIVE_INFINITY) < servedValidityMilliseconds;
	}

	/** Reports after a random delay: the first report of a request makes those of other instances needless. */
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
		const {ledger: {suspects}, instance, clock, publish} = this.#dependencies;
		const survivors = [...suspects.keys()].filter(fingerprint => this.#wasServed(fingerprint)).slice(0, maxRequestsPerReport);
		if (survivors.length > 0) {
			publish({
				kind: 'survival', instance, at: clock.moment().wall, requests: survivors.map(fingerprint => [fingerprint, [...suspects.get(fingerprint) ?? []]]),
			});
		}
	}

	#now(): number {
		return this.#dependencies.clock.moment().steady;
	}

	#reportCrash({endpoint, requests}: ObservedCrash): void {
		const {instance, clock, metrics, publish, endpoints} = this.#dependencies;
		endpoints.noteEnded(endpoint);
		metrics.crashes.inc();
		const latest = requests.toSorted((left, right) => left.inFlightMilliseconds - right.inFlightMilliseconds).slice(0, maxRequestsPerReport);
		publish({
			kind: 'crash',
			incarnation: incarnationOf(endpoint),
			instance,
			at: clock.moment().wall,
			requests: latest.map(({fingerprint, inFlightMilliseconds}) => [fingerprint, Math.round(inFlightMilliseconds)]),
		});
	}
}
