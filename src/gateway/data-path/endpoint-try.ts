/**
 * One try of a request at one endpoint: sent, its answer judged by its head, and passed on as it comes. What follows a try
 * that failed is decided elsewhere.
 */
import {isRepeatable, type TryOutcome} from '../../decision/attempts/next-step.js';
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

/** How a try ended. */
export type TryResult = {
	outcome: TryOutcome | 'whole' | 'client-left';
	/** Whether the endpoint may have got the request. */
	wasSent: boolean;
	/** Whether it may have run. */
	mayHaveRun: boolean;
	answer?: EndpointAnswer;
	transfer: AnswerTransfer;
	detail?: string | undefined;
};

/** How the log tells of a try that was given up. */
const givenUpDetails: Record<GivenUpFor, string> = {
	silence: 'the endpoint fell silent',
	'older-weights': 'not begun when the grant of older weights ended',
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

	/** Sends the request and passes the answer on. */
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
		this.#context.placement.heard(this.#target.endpoint, this.#now());
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
			detail: outcome === 'unknown' ? 'the head of the answer does not prove whose it is, or cannot be passed on' : undefined,
		};
	}

	/** What the head of an answer says of the try. `usable` answers are passed on. */
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
			// Nothing proves that these bytes answer this request; the connection may hold somebody else's answer.
			this.#exchange?.cancel();
			return 'unknown';
		}

		if (this.#work.response.headersSent) {
			// The caller has the head and some events of a success; anything but more events would be joined to them.
			return status === 200 ? 'usable' : 'failed';
		}

		return status >= 500 && status !== 504 && isRepeatable(this.#work.permitted.route.kind) ? 'failed' : 'usable';
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
				placement.heard(endpoint, this.#now());
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
		// Behind half of a failure's page, events from elsewhere would be joined to it, and the whole would end in order.
		// Behind events without an id no endpoint knows where to go on: it would begin again, and its events come twice.
		const mayGoOn = answer.status === 200 && (cutter === undefined || (cutter.lastId ?? '') !== '');
		const brokenOutcome = mayGoOn ? 'cut' : 'torn';
		// Half an event is left of the answer that broke; the next endpoint sends that event from its start.
		cutter?.rest();
		return {
			outcome: response.headersSent ? brokenOutcome : 'unknown', wasSent: true, mayHaveRun: true, answer, transfer, detail: this.#detailOf('the endpoint broke off its answer'),
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

	/** What broke a try, which must not be laid at the endpoint's door where this process gave it up. */
	#detailOf(seen: string): string {
		const {givenUpFor} = this.#watch;
		if (givenUpFor !== undefined) {
			return givenUpDetails[givenUpFor];
		}

		return this.#isCancelled ? 'given up: the caller left or the time was over' : seen;
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
 * Tells how an answer came.
 *
 * @param answer - The answer, of which the framing and the connection are told.
 * @param read - What was read of its body.
 * @returns The facts for the log.
 */
export function transferOf({connection, framing}: EndpointAnswer, read: Pick<AnswerTransfer, 'bodyBytes' | 'bodyEnd'>): AnswerTransfer {
	return {connection, framing, ...read};
}
