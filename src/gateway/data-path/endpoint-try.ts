/**
 * One attempt to serve a request at one endpoint: sends the request, classifies the answer by its head, and relays the body
 * as it arrives. What follows a failed attempt is decided in `decision/attempts`.
 */
import {isRetryable, type AttemptOutcome} from '../../decision/attempts/next-step.js';
import {type GatewayContext} from '../gateway-context.js';
import {type AnswerTransfer} from './answer-transfer.js';
import {type EndpointAnswer, type OpenExchange} from './endpoint-exchange.js';
import {endpointHeaders} from './endpoint-headers.js';
import {isPassableHead} from './is-passable-head.js';
import {orderParts} from './order-parts.js';
import {parseEndpointLoad} from './parse-endpoint-load.js';
import {relayAnswer} from './relay-answer.js';
import {type GivenUpFor, TryWatch} from './try-watch.js';
import {type TryTarget, type TryWork} from './try-work.js';

/** How an attempt ended. */
export type TryResult = {
	outcome: AttemptOutcome | 'whole' | 'client-left';
	/** Whether the endpoint may have received the request. */
	wasSent: boolean;
	/** Whether the endpoint may have run the request. */
	mayHaveRun: boolean;
	answer?: EndpointAnswer;
	transfer: AnswerTransfer;
	detail?: string | undefined;
};

/** The `detail` that the log shows for an attempt that was cancelled early. */
const givenUpDetails: Record<GivenUpFor, string> = {
	silence: 'the endpoint became unresponsive',
	'older-weights': 'cancelled before it began: the grant of older weights ended',
};

const rejectionStatuses: ReadonlySet<number> = new Set([421, 429, 503]);

export class EndpointTry {
	readonly #context: GatewayContext;
	readonly #work: TryWork;
	readonly #target: TryTarget;
	readonly #watch: TryWatch;
	#exchange: OpenExchange | undefined;
	#isCancelled = false;

	constructor(context: GatewayContext, work: TryWork, target: TryTarget) {
		this.#context = context;
		this.#work = work;
		this.#target = target;
		this.#watch = new TryWatch(context, work, target);
	}

	/** Sends the request and relays the answer. */
	async run(): Promise<TryResult> {
		const {placement, exchanges, names, metrics} = this.#context;
		const {head, permitted, body, cutter, deadline} = this.#work;
		const {endpoint, request, basis} = this.#target;
		placement.observe({
			kind: 'sent', request, endpoint, basis,
		}, this.#now());
		this.#exchange = exchanges.open({
			address: endpoint.address,
			method: head.method,
			target: head.target,
			rawHeaders: endpointHeaders({
				head,
				permitted,
				endpoint,
				leftMilliseconds: deadline - this.#now(),
				bodyBytes: body.length,
				lastEventId: cutter?.lastId,
				parts: orderParts(this.#context, this.#work, endpoint),
			}, names),
			body,
			attemptId: head.attemptId,
			attemptIdHeader: names.attemptId,
		});
		this.#watch.start(this.#exchange);
		const result = await this.#awaitResult(this.#exchange);
		this.#watch.stop();
		placement.observe({
			kind: 'ended', request, endpoint, outcome: this.#endOf(result.outcome),
		}, this.#now());
		metrics.tries.inc({outcome: result.outcome});
		const {framing, bodyEnd} = result.transfer;
		if (framing !== undefined && bodyEnd !== undefined) {
			metrics.answers.inc({framing, ending: bodyEnd});
		}

		return result;
	}

	/** Closes the connection, so that the endpoint stops its work. */
	cancel(): void {
		this.#isCancelled = true;
		this.#exchange?.cancel();
	}

	async #awaitResult(exchange: OpenExchange): Promise<TryResult> {
		const answered = await exchange.answer;
		if (answered.isLeft()) {
			const {kind, connection, detail} = answered.extract();
			const wasSent = kind === 'unknown';
			return {
				outcome: kind, wasSent, mayHaveRun: wasSent, transfer: {connection}, detail: this.#detailOf(detail),
			};
		}

		const answer = answered.unsafeCoerce();
		this.#context.placement.received(this.#target.endpoint, this.#now());
		this.#learnFrom(answer);
		const outcome = this.#judge(answer);
		if (outcome === 'usable') {
			return this.#relay(answer);
		}

		return {
			outcome,
			wasSent: true,
			mayHaveRun: outcome !== 'rejected',
			answer,
			transfer: transferOf(answer, {bodyEnd: 'unread'}),
			detail: outcome === 'unknown' ? 'the answer does not prove that it belongs to this request, or its head cannot be forwarded' : undefined,
		};
	}

	/** Classifies an answer by its head. Only `usable` answers are relayed. */
	#judge(answer: EndpointAnswer): 'usable' | 'rejected' | 'failed' | 'unknown' {
		const {names} = this.#context;
		const {status} = answer;
		const hasWord = status === 421 || answer.header(names.notExecuted) !== undefined;
		if (rejectionStatuses.has(status) && hasWord) {
			return 'rejected';
		}

		if (!isPassableHead(answer)) {
			this.#exchange?.cancel();
			return 'unknown';
		}

		const isSuccess = status >= 200 && status < 300;
		const isOwn = answer.header(names.attemptId) === this.#work.head.attemptId;
		if (isSuccess && (answer.header(names.seal) === undefined || !isOwn)) {
			// Nothing proves that these bytes answer this request; the connection may carry the answer to another one.
			this.#exchange?.cancel();
			return 'unknown';
		}

		if (this.#work.response.headersSent) {
			// The caller already has the head and some events of a success; only further events may follow them.
			return status === 200 ? 'usable' : 'failed';
		}

		return status >= 500 && status !== 504 && isRetryable(this.#work.permitted.route.kind) ? 'failed' : 'usable';
	}

	async #relay(answer: EndpointAnswer): Promise<TryResult> {
		const {placement, names, log} = this.#context;
		const {head, response, cutter} = this.#work;
		const {endpoint, request, onFirstBytes} = this.#target;
		const {outcome, ...read} = await relayAnswer({
			answer,
			response,
			cutter: answer.status === 200 ? cutter : undefined,
			onFirstBytes: () => {
				this.#watch.noteBegun();
				onFirstBytes();
				placement.observe({
					kind: 'answered', request, endpoint, load: parseEndpointLoad(answer.header(names.endpointLoad)),
				}, this.#now());
			},
			onBytes: () => {
				placement.received(endpoint, this.#now());
			},
			onFault(error) {
				log.record('fault', {
					path: 'relay', id: head.attemptId, endpoint: endpoint.name, error: String(error),
				});
			},
		});
		const transfer = transferOf(answer, read);
		if (outcome !== 'cut') {
			return {
				outcome, wasSent: true, mayHaveRun: true, answer, transfer,
			};
		}

		this.#exchange?.cancel();
		// After half of a failure's body, another endpoint's events would be appended to it, and the answer would look complete.
		// After events without an id no endpoint knows where to resume: it would start over and send the events twice.
		const mayGoOn = answer.status === 200 && (cutter === undefined || (cutter.lastId ?? '') !== '');
		const brokenOutcome = mayGoOn ? 'cut' : 'torn';
		// Drops the incomplete event of the broken answer; the next endpoint sends that event from its start.
		cutter?.rest();
		return {
			outcome: response.headersSent ? brokenOutcome : 'unknown', wasSent: true, mayHaveRun: true, answer, transfer, detail: this.#detailOf('the answer ended before it was complete'),
		};
	}

	#learnFrom(answer: EndpointAnswer): void {
		const {names, endpoints} = this.#context;
		const {endpoint} = this.#target;
		const model = this.#work.head.prompt?.model;
		const version = Number(answer.header(names.weightVersion));
		if (model !== undefined && Number.isInteger(version) && version > 0) {
			endpoints.noteWeightVersion(endpoint.name, model, version);
		}

		const answering = answer.header(names.endpointName);
		if (answer.status === 421 && answering !== undefined && answering !== endpoint.name) {
			endpoints.markLeaving(endpoint.name);
		}
	}

	/** Explains why an attempt failed. The endpoint must not be blamed for an attempt that this process cancelled. */
	#detailOf(seen: string): string {
		const {givenUpFor} = this.#watch;
		if (givenUpFor !== undefined) {
			return givenUpDetails[givenUpFor];
		}

		return this.#isCancelled ? 'cancelled: the caller disconnected or the timeout passed' : seen;
	}

	#endOf(outcome: TryResult['outcome']): 'whole' | 'rejected' | 'failed' | 'unreachable' | 'cancelled' {
		if (outcome === 'whole' || outcome === 'rejected') {
			return outcome;
		}

		const {givenUpFor} = this.#watch;
		if (this.#isCancelled || givenUpFor === 'older-weights' || outcome === 'client-left') {
			return 'cancelled';
		}

		return outcome === 'not-sent' || givenUpFor === 'silence' ? 'unreachable' : 'failed';
	}

	#now(): number {
		return this.#context.clock.moment().steady;
	}
}

/**
 * Describes for the log how an answer was transferred.
 *
 * @param answer - The answer, with its framing and connection.
 * @param read - What was read of its body.
 */
export function transferOf({connection, framing}: EndpointAnswer, read: Pick<AnswerTransfer, 'bodyBytes' | 'bodyEnd'>): AnswerTransfer {
	return {connection, framing, ...read};
}
