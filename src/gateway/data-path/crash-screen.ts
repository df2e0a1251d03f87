/**
 * Keeps one routed request from endpoints that it would crash, and reports what its attempts show: a broken connection, or a
 * complete answer.
 */
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {sharedBlocksOf} from '../../shared/prompt-shape.js';
import {type Refusal} from '../../shared/types.js';
import {type LostRequest} from '../crashes/crash-detector.js';
import {type Block} from '../crashes/crash-ledger.js';
import {type GatewayContext} from '../gateway-context.js';
import {type RequestHead} from './request-head.js';
import {requestFingerprint, type IdentifiedRequest} from './request-fingerprint.js';

/** How often a held request checks whether it is still blocked. */
const holdCheckMilliseconds = 50;

/** What identifies a request, and the prompt that it carries. */
export type ScreenedRequest = IdentifiedRequest & {head: Pick<RequestHead, 'attemptId' | 'prompt'>};

type ScreenContext = Pick<GatewayContext, 'clock' | 'crashes' | 'log'>;

export class CrashScreen {
	readonly #context: ScreenContext;
	readonly #request: ScreenedRequest;
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
	 * until the reports of other instances have arrived, which may have answered it.
	 *
	 * @param signal - Ends the holding, without a refusal, when the caller disconnects or its time is over.
	 */
	async refusal(signal: AbortSignal): Promise<Refusal | undefined> {
		const {crashes, clock} = this.#context;
		if (!crashes.hasBlocks) {
			return undefined;
		}

		while (crashes.isUnsettled(this.fingerprint) && !signal.aborted) {
			await clock.sleep(holdCheckMilliseconds, signal);
		}

		const block = signal.aborted ? undefined : crashes.blockOf(this.fingerprint);
		if (block === undefined) {
			return undefined;
		}

		const now = clock.moment().wall;
		this.#logBlock(block, now);
		return {
			reason: 'crashes-endpoints',
			ran: 'not-run',
			message: `${block.crashes.length} endpoints ended while they ran this request`,
			// The caller is not invited to come back before the evidence expires.
			retryAfterMilliseconds: Math.round(block.until - now),
		};
	}

	/** Records that the connection to an endpoint broke before the answer was complete. */
	noteLost(endpoint: EndpointRecord, lost: Pick<LostRequest, 'inFlightMilliseconds' | 'progress'>): void {
		this.#context.crashes.noteLost(endpoint, {...lost, fingerprint: this.fingerprint, blocks: sharedBlocksOf(this.#request.head.prompt)});
	}

	/** Records a complete answer. */
	noteServed(): void {
		this.#context.crashes.noteServed(this.fingerprint);
	}

	#logBlock({crashes}: Block, now: number): void {
		this.#context.log.record('request-blocked', {
			id: this.#request.head.attemptId,
			fingerprint: this.fingerprint,
			crashes: crashes.map(({incarnation, instance, at}) => ({endpoint: incarnation, reportedBy: instance, ageMilliseconds: Math.round(now - at)})),
		});
	}
}
