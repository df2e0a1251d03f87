/**
 * Keeps one routed request from endpoints that it would crash, and reports what its attempts show: a broken connection, or a
 * complete answer.
 */
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type Refusal} from '../../shared/types.js';
import {type Block} from '../crashes/crash-ledger.js';
import {type GatewayContext} from '../gateway-context.js';
import {requestFingerprint, type IdentifiedRequest} from './request-fingerprint.js';

/** Within this time after the last crash another instance may still report that the request was answered elsewhere. */
const settleMilliseconds = 3000;

type ScreenContext = Pick<GatewayContext, 'clock' | 'crashes' | 'log'>;

export class CrashScreen {
	readonly #context: ScreenContext;
	readonly #request: IdentifiedRequest & {head: {attemptId: string}};
	#fingerprint: string | undefined;

	constructor(context: ScreenContext, request: IdentifiedRequest & {head: {attemptId: string}}) {
		this.#context = context;
		this.#request = request;
	}

	get fingerprint(): string {
		this.#fingerprint ??= requestFingerprint(this.#request);
		return this.#fingerprint;
	}

	/** The refusal of a request that is blocked; `undefined` if it may be sent. */
	refusal(): Refusal | undefined {
		const {crashes, clock} = this.#context;
		const block = crashes.hasBlocks ? crashes.blockOf(this.fingerprint) : undefined;
		if (block === undefined) {
			return undefined;
		}

		const now = clock.moment().wall;
		this.#logBlock(block, now);
		return {
			reason: 'crashes-endpoints',
			ran: 'not-run',
			message: `${block.crashes.length} endpoints ended while they ran this request`,
			retryAfterMilliseconds: retryDelay(block, now),
		};
	}

	/** Records that the connection to an endpoint broke before the answer was complete. */
	noteLost(endpoint: EndpointRecord, inFlightMilliseconds: number): void {
		this.#context.crashes.noteLost(endpoint, {fingerprint: this.fingerprint, inFlightMilliseconds});
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

/** The caller of a request that is blocked for good is not invited to come back before the evidence expires. */
function retryDelay({crashes, until}: Block, now: number): number {
	const settledAt = (crashes.at(-1)?.at ?? 0) + settleMilliseconds;
	return Math.round(Math.max(1000, (now < settledAt ? settledAt : until) - now));
}
