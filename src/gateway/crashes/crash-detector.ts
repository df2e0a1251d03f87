/**
 * Finds out why connections to an endpoint broke: whether its process has ended, or only the connections.
 *
 * A broken connection alone proves nothing: endpoints cut answers, reset connections over their limit, leave as announced and
 * are cut off. A process that has ended refuses connections, so a connection attempt after the break tells them apart within
 * a few milliseconds; the endpoint's row in the list vanishes only seconds later. A process that has stopped for a second may
 * refuse connections as well. But all connections end with their process, so one that stays open shows that it has not ended.
 */
import {type AnswerProgress} from '../../decision/crashes/answer-progress.js';
import {type MomentClock} from '../../ports/moment-clock.js';
import {type EndpointRecord, incarnationOf} from '../../shared/endpoint-record.js';
import {type EndpointRegistry} from '../endpoints/endpoint-registry.js';
import {type ProbeResult} from '../endpoints/probe-connection.js';
import {type DecisionLog} from '../observability/decision-log.js';

/** A request whose connection to an endpoint broke. */
export type LostRequest = {
	fingerprint: string;
	/** From the sending of the request to the break. */
	inFlightMilliseconds: number;
	progress: AnswerProgress;
	workspace: string;
	/** Those blocks of its prompt that other prompts may share, as features. */
	blocks: readonly string[];
};

/**
 * What the breaks of an endpoint's connections mean.
 *
 * - `crashed`: its process has ended without notice.
 * - `reachable`: it accepts connections, or has another one open, so only some connections broke.
 * - `unreachable`: it does not answer; it may be cut off.
 * - `left`: it had announced that it leaves, or had left the list.
 */
export type BreakVerdict = 'crashed' | 'reachable' | 'unreachable' | 'left';

/** The requests that were lost in one crash, as far as this instance had sent them. */
export type ObservedCrash = {
	endpoint: EndpointRecord;
	requests: readonly LostRequest[];
};

export type CrashDetectorDependencies = {
	clock: MomentClock;
	log: Pick<DecisionLog, 'record'>;
	endpoints: Pick<EndpointRegistry, 'hasDeparted'>;
	/** Finds out whether an endpoint's process answers; a failure of this instance's own link must not look like `refused`. */
	probe(endpoint: EndpointRecord): Promise<ProbeResult>;
	/** Whether this instance has a connection to an endpoint that is open, as far as it has noticed. */
	hasOpenConnection(endpoint: EndpointRecord): boolean;
	/** Called once for each crash, shortly after it was found. */
	onCrash(crash: ObservedCrash): void;
};

/**
 * Delays before the connection attempts. A process that ends closes its connections one after another, so its listener may
 * still accept a connection right after the first break.
 */
const probeDelaysMilliseconds = [0, 100, 300];
/** All connections that a crash cuts, and their requests, are found within this time: they break in the same few milliseconds. */
const collectMilliseconds = 40;
/** The blocks of a prompt that a log line names; a prompt may have hundreds. */
const maxLoggedBlocks = 8;

type Break = {endpoint: EndpointRecord; requests: LostRequest[]; verdict: Promise<BreakVerdict>};

export class CrashDetector {
	readonly #dependencies: CrashDetectorDependencies;
	readonly #open = new Map<string, Break>();
	readonly #signal = new AbortController().signal;

	constructor(dependencies: CrashDetectorDependencies) {
		this.#dependencies = dependencies;
	}

	/** Records that the connection of a request broke before its answer was complete. */
	noteLost(endpoint: EndpointRecord, request: LostRequest): void {
		const incarnation = incarnationOf(endpoint);
		const open = this.#open.get(incarnation);
		if (open !== undefined) {
			open.requests.push(request);
			return;
		}

		const found: Break = {endpoint, requests: [request], verdict: this.#examineBreak(endpoint)};
		this.#open.set(incarnation, found);
		void this.#examine(found);
	}

	/** What the break that is being examined means; `undefined` if none is. */
	async verdictOf(endpoint: EndpointRecord): Promise<BreakVerdict | undefined> {
		return this.#open.get(incarnationOf(endpoint))?.verdict;
	}

	async #examine(found: Break): Promise<void> {
		const {log, onCrash} = this.#dependencies;
		const verdict = await found.verdict;
		this.#open.delete(incarnationOf(found.endpoint));
		const {endpoint, requests} = found;
		log.record('connections-lost', {
			endpoint: endpoint.name,
			verdict,
			requests: requests.map(({fingerprint, inFlightMilliseconds, progress, blocks}) => [fingerprint, Math.round(inFlightMilliseconds), progress, ...blocks.slice(0, maxLoggedBlocks)]),
		});
		if (verdict === 'crashed') {
			onCrash({endpoint, requests});
		}
	}

	/** Nothing is known of an endpoint whose examination failed. */
	async #examineBreak(endpoint: EndpointRecord): Promise<BreakVerdict> {
		try {
			return await this.#judge(endpoint);
		} catch (error) {
			this.#dependencies.log.record('fault', {path: 'connection-lost', endpoint: endpoint.name, error: String(error)});
			return 'unreachable';
		}
	}

	async #judge(endpoint: EndpointRecord): Promise<BreakVerdict> {
		const {clock, endpoints, hasOpenConnection} = this.#dependencies;
		if (endpoints.hasDeparted(endpoint)) {
			return 'left';
		}

		const collected = clock.sleep(collectMilliseconds, this.#signal);
		let result: ProbeResult = 'silent';
		for (const delayMilliseconds of probeDelaysMilliseconds) {
			if (delayMilliseconds > 0) {
				await clock.sleep(delayMilliseconds, this.#signal);
			}

			result = await this.#dependencies.probe(endpoint);
			if (result === 'refused') {
				await collected;
				if (!hasOpenConnection(endpoint)) {
					return 'crashed';
				}
			}
		}

		return result === 'silent' ? 'unreachable' : 'reachable';
	}
}
