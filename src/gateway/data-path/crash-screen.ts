/**
 * Keeps one routed request from endpoints that it would crash, and reports what its attempts show: a broken connection, or a
 * complete answer.
 */
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {answerProgress} from '../../decision/crashes/answer-progress.js';
import {blockFeature, isBlockFeature} from '../../decision/crashes/request-features.js';
import {sharedBlocksOf} from '../../shared/prompt-shape.js';
import {type Refusal} from '../../shared/types.js';
import {type LostRequest} from '../crashes/crash-detector.js';
import {type Block, type FeaturedRequest} from '../crashes/crash-ledger.js';
import {type GatewayContext} from '../gateway-context.js';
import {type AttemptResult} from './attempt-result.js';
import {type RequestHead} from './request-head.js';
import {requestFingerprint, type IdentifiedRequest} from './request-fingerprint.js';

/** For a caller that comes while another one's trial is claimed. */
const minRetryAfterMilliseconds = 1000;
/** How often a held request checks whether it is still blocked. */
const holdCheckMilliseconds = 50;

/** What identifies a request, and the prompt that it carries. */
export type ScreenedRequest = IdentifiedRequest & {head: Pick<RequestHead, 'attemptId' | 'prompt'>};

type ScreenContext = Pick<GatewayContext, 'clock' | 'crashes' | 'log'>;

export class CrashScreen {
	readonly #context: ScreenContext;
	readonly #request: ScreenedRequest;
	#featured: FeaturedRequest | undefined;
	#fingerprint: string | undefined;

	constructor(context: ScreenContext, request: ScreenedRequest) {
		this.#context = context;
		this.#request = request;
	}

	get fingerprint(): string {
		this.#fingerprint ??= requestFingerprint(this.#request);
		return this.#fingerprint;
	}

	/**
	 * The refusal of a request that is blocked; `undefined` if it may be sent. A request that was blocked just now is held
	 * until the reports of other instances have arrived, which may have answered requests like it.
	 *
	 * @param signal - Ends the holding, without a refusal, when the caller disconnects or its time is over.
	 */
	async refusal(signal: AbortSignal): Promise<Refusal | undefined> {
		const {crashes, clock} = this.#context;
		if (!crashes.hasBlocks) {
			return undefined;
		}

		let block = crashes.blockOf(this.#features);
		while (block !== undefined && crashes.isUnsettled(block) && !signal.aborted) {
			await clock.sleep(holdCheckMilliseconds, signal);
			block = crashes.blockOf(this.#features);
		}

		if (block === undefined || signal.aborted || await crashes.mayTry(block)) {
			return undefined;
		}

		const now = clock.moment().wall;
		this.#logBlock(block, now);
		return {
			reason: 'crashes-endpoints',
			ran: 'not-run',
			message: `${new Set(block.crashes.map(({incarnation}) => incarnation)).size} endpoints ended while they ran this request, or one that shares a part of its prompt`,
			// The caller is not invited to come back before the evidence expires, or may be tested again.
			retryAfterMilliseconds: Math.max(minRetryAfterMilliseconds, Math.round(Math.min(block.until, block.nextTrialAt) - now)),
		};
	}

	/** Records that the connection to an endpoint broke before the answer was complete. */
	noteLost(endpoint: EndpointRecord, lost: Pick<LostRequest, 'inFlightMilliseconds' | 'progress'>): void {
		this.#context.crashes.noteLost(endpoint, {
			...lost, fingerprint: this.fingerprint, workspace: this.#features.workspace, blocks: [...this.#features.features].filter(feature => isBlockFeature(feature)),
		});
	}

	/**
	 * Whether a request has probably crashed its endpoint: that ended as it began to write the answer, and no prompt with the same
	 * blocks has been answered. Another attempt would end another endpoint.
	 */
	async hasProbablyCrashed(endpoint: EndpointRecord, {isConnectionLost = false, transfer: {framing, bodyBytes = 0}}: AttemptResult): Promise<boolean> {
		const {crashes} = this.#context;
		const hasBegun = isConnectionLost && answerProgress(framing !== undefined, bodyBytes) === 'begun';
		return hasBegun && !crashes.hasAnsweredBlocks(this.#features.features) && crashes.hasCrashed(endpoint);
	}

	/** Records a complete answer to an attempt that was sent at `sentAt`, in milliseconds of the steady clock. */
	noteServed(sentAt: number): void {
		this.#context.crashes.noteServed(this.#features.features, sentAt);
	}

	get #features(): FeaturedRequest {
		const {head: {prompt}, permitted: {grant}} = this.#request;
		this.#featured ??= {
			features: new Set([this.fingerprint, ...sharedBlocksOf(prompt).map(block => blockFeature(block))]),
			workspace: grant?.name ?? '',
		};
		return this.#featured;
	}

	#logBlock({features, crashes}: Block, now: number): void {
		this.#context.log.record('request-blocked', {
			id: this.#request.head.attemptId,
			fingerprint: this.fingerprint,
			features: [...features],
			crashes: crashes.map(({incarnation, instance, at}) => ({endpoint: incarnation, reportedBy: instance, ageMilliseconds: Math.round(now - at)})),
		});
	}
}
