/**
 * Carries one routed request from its placement to its end: chooses an endpoint, sends the request, relays the answer and,
 * after a failed attempt, retries, resumes, refuses or fails the request. `src/decision` decides these steps.
 */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {
	decideNextStep, type NextStep, type AttemptOutcome,
} from '../../decision/attempts/next-step.js';
import {type Placement, type PlacementBasis, type PlacementRequest} from '../../decision/placement/placement.js';
import {type Moment} from '../../ports/moment-clock.js';
import {type GatewayContext} from '../gateway-context.js';
import {breakOffAnswer} from '../../serving/break-off-answer.js';
import {hasCallerLeft} from '../../serving/has-caller-left.js';
import {unusualTransfer, type AnswerTransfer} from './answer-transfer.js';
import {EndpointChoice} from './endpoint-choice.js';
import {type EndpointAnswer} from './endpoint-exchange.js';
import {EndpointTry, type TryResult} from './endpoint-try.js';
import {EventCutter} from './event-cutter.js';
import {type PermittedRequest} from './judge-request.js';
import {passOnFailure} from './pass-on-failure.js';
import {reportEnd, type RoutedEnd} from './report-end.js';
import {RequestEnding} from './request-ending.js';
import {type RequestHead} from './request-head.js';

/** A permitted request with its body, and the response to write. */
export type RoutedWork = {
	head: RequestHead;
	permitted: PermittedRequest;
	body: Buffer;
	arrivedAt: Moment;
	request: IncomingMessage;
	response: ServerResponse;
};

/** `Retry-After` of a request that every endpoint rejected: a queue of short requests drains in this time. */
const rejectedRetryMilliseconds = 500;
export class RoutedRequest {
	readonly #context: GatewayContext;
	readonly #work: RoutedWork;
	readonly #deadline: number;
	readonly #tried = new Set<string>();
	readonly #choice: EndpointChoice;
	readonly #cutter: EventCutter | undefined;
	readonly #ending: RequestEnding;
	#current: EndpointTry | undefined;
	#sends = 0;
	#mayHaveRun = false;
	#hasLeft = false;
	#isExpired = false;
	#firstByteAt: number | undefined;
	#sentAt: number | undefined;
	#basis: PlacementBasis | undefined;
	#status = 0;
	/** How the last answer was transferred; unset once a log line has reported it. */
	#untoldTransfer: AnswerTransfer | undefined;

	constructor(context: GatewayContext, work: RoutedWork) {
		this.#context = context;
		this.#work = work;
		this.#choice = new EndpointChoice(context, work, this.#tried);
		const {route} = work.permitted;
		const patience = work.head.deadlineMilliseconds ?? Number.POSITIVE_INFINITY;
		this.#deadline = work.arrivedAt.steady + Math.min(route.timeoutMilliseconds, patience);
		this.#cutter = route.kind === 'resumable-stream' ? new EventCutter() : undefined;
		this.#ending = new RequestEnding(work.response, context.refuse);
	}

	/** Serves the request to its end. The response is always ended or closed when this resolves. */
	async run(): Promise<RoutedEnd> {
		const {response} = this.#work;
		const onClose = (): void => {
			this.#leave();
		};

		if (response.destroyed) {
			this.#leave();
		}

		response.once('close', onClose);
		const timer = setTimeout(() => {
			this.#isExpired = true;
			this.#current?.cancel();
		}, Math.max(0, this.#deadline - this.#now()));
		try {
			const end = await this.#tryUntilDone();
			reportEnd(this.#context, this.#work, {
				end,
				status: this.#ending.status ?? this.#status,
				endpoints: [...this.#tried],
				sends: this.#sends,
				mayHaveRun: this.#mayHaveRun,
				placedBy: this.#basis,
				firstByteAt: this.#firstByteAt,
				sentAt: this.#sentAt,
				...unusualTransfer(this.#untoldTransfer),
			}, this.#now());
			return end;
		} finally {
			clearTimeout(timer);
			response.off('close', onClose);
		}
	}

	async #tryUntilDone(): Promise<RoutedEnd> {
		for (;;) {
			await this.#choice.look();

			const hasLeft = await hasCallerLeft(this.#work.request, this.#context.eventLoopLag.current);
			if (hasLeft || this.#hasLeft) {
				return 'client-left';
			}

			if (this.#isExpired || this.#now() >= this.#deadline) {
				return this.#ending.expire(this.#mayHaveRun);
			}

			const {request, placement} = this.#choice.place();
			if (placement.kind === 'none' && placement.reason === 'overloaded' && this.#choice.mayLookFurther()) {
				continue;
			}

			if (placement.kind === 'none') {
				return this.#ending.giveUp({
					reason: placement.reason, ran: 'not-run', message: 'no endpoint of the service can accept the request now', retryAfterMilliseconds: placement.retryAfterMilliseconds,
				}, this.#mayHaveRun);
			}

			const result = await this.#send(request, placement);
			if (result.outcome === 'whole') {
				return 'whole';
			}

			if (result.outcome === 'client-left' || this.#hasLeft) {
				this.#discardUnread(result);
				return 'client-left';
			}

			if (this.#isExpired) {
				return this.#ending.expire(this.#mayHaveRun);
			}

			const {outcome} = result;
			const step = this.#stepAfter(outcome);
			this.#context.log.record('try-failed', {
				id: this.#work.head.attemptId, endpoint: placement.endpoint.name, outcome, step, sends: this.#sends, detail: result.detail, status: result.answer?.status, transfer: result.transfer,
			});
			this.#untoldTransfer = undefined;
			const end = await this.#carryOut(step, result.answer);
			if (end !== undefined) {
				return end;
			}
		}
	}

	#stepAfter(outcome: AttemptOutcome): NextStep {
		const {permitted: {route, service}} = this.#work;
		return decideNextStep(outcome, {
			kind: route.kind,
			sends: this.#sends,
			maxSends: route.maxAttempts,
			mayHaveRun: this.#mayHaveRun,
			remainingMilliseconds: this.#deadline - this.#now(),
		}, () => this.#context.budget.takeRetry(service, this.#now()));
	}

	/** Carries out the step after a failed attempt. Returns how the request ended, or `undefined` if another attempt follows. */
	async #carryOut(step: NextStep, answer: EndpointAnswer | undefined): Promise<RoutedEnd | undefined> {
		switch (step) {
			case 'repeat':
			case 'resume': {
				answer?.discard();
				return undefined;
			}

			case 'pass-on': {
				return this.#passOnFailure(answer!);
			}

			case 'break-off': {
				breakOffAnswer(this.#work.response);
				return 'broken-off';
			}

			case 'refuse':
			case 'fail': {
				answer?.discard();
				return this.#ending.giveUp({
					reason: 'no-endpoint', ran: 'not-run', message: 'no endpoint accepted the request', retryAfterMilliseconds: rejectedRetryMilliseconds,
				}, this.#mayHaveRun);
			}
		}
	}

	async #send(request: PlacementRequest, {endpoint, basis}: Placement & {kind: 'send'}): Promise<TryResult> {
		const {head, permitted, body, response} = this.#work;
		this.#tried.add(endpoint.name);
		this.#basis = basis;
		if (this.#sends === 0) {
			this.#context.budget.countRequest(permitted.service, this.#now());
		}

		this.#current = new EndpointTry(this.#context, {
			head, permitted, body, response, cutter: this.#cutter, deadline: this.#deadline,
		}, {
			endpoint,
			request,
			basis,
			hasNext: this.#sends + 1 < permitted.route.maxAttempts,
			onFirstBytes: () => {
				this.#firstByteAt ??= this.#now();
			},
		});
		this.#sentAt = this.#now();
		const running = this.#current.run();
		if (request.prompt !== undefined) {
			this.#context.peerNews.tell();
		}

		const result = await running;
		// The body of a failure may still be relayed; the timeout and a disconnect of the caller must be able to cancel that too.
		this.#current = result.outcome === 'failed' ? this.#current : undefined;
		this.#sends += result.wasSent ? 1 : 0;
		this.#mayHaveRun ||= result.mayHaveRun;
		this.#untoldTransfer = result.transfer;
		this.#status = result.answer?.status ?? this.#status;
		return result;
	}

	async #passOnFailure(answer: EndpointAnswer): Promise<RoutedEnd> {
		const {head, response} = this.#work;
		const {outcome, transfer} = await passOnFailure({
			id: head.attemptId, answer, response, log: this.#context.log,
		});
		if (transfer !== undefined) {
			this.#untoldTransfer = transfer;
			this.#status = answer.status;
		}

		if (outcome !== 'whole') {
			// The rest of the body is not read, so an endpoint that has stalled would hold its connection indefinitely.
			this.#current?.cancel();
		}

		if (outcome === 'cut' && this.#isExpired) {
			return this.#ending.expire(this.#mayHaveRun);
		}

		if (outcome === 'cut') {
			breakOffAnswer(response);
			return 'broken-off';
		}

		return outcome === 'whole' ? 'failure-passed-on' : 'client-left';
	}

	/** Releases the connection of an answer whose caller has disconnected; an endpoint that stalls would hold it indefinitely. */
	#discardUnread({outcome, answer}: TryResult): void {
		if (outcome === 'rejected') {
			answer?.discard();
		} else {
			// A non-idempotent call may finish within the timeout of its route.
			answer?.discard(Math.max(0, this.#deadline - this.#now()));
		}
	}

	/**
	 * Handles a disconnect of the caller. Idempotent requests and streams are cancelled, since nobody reads their answers. A
	 * non-idempotent call is left to finish, since cancelling it would leave it half done and save little.
	 */
	#leave(): void {
		if (this.#work.response.writableFinished) {
			return;
		}

		this.#hasLeft = true;
		if (this.#work.permitted.route.kind !== 'non-idempotent') {
			this.#current?.cancel();
		}
	}

	#now(): number {
		return this.#context.clock.moment().steady;
	}
}
