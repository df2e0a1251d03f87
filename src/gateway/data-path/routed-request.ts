/**
 * Carries one routed request from its placement to its end: chooses an endpoint, sends the request, relays the answer and,
 * after a failed attempt, retries, resumes, refuses or fails the request. `src/decision` decides these steps.
 */
import {
	decideNextStep, type NextStep, type AttemptOutcome,
} from '../../decision/attempts/next-step.js';
import {type GatewayContext} from '../gateway-context.js';
import {abortAnswer} from '../../serving/abort-answer.js';
import {afterNextPoll} from '../../serving/after-next-poll.js';
import {hasCallerDisconnected} from '../../serving/has-caller-disconnected.js';
import {connectionCloseOf} from '../../serving/connection-close.js';
import {RoomSearch} from '../waiting/room-search.js';
import {unusualTransfer, type AnswerTransfer} from './answer-transfer.js';
import {CrashScreen} from './crash-screen.js';
import {EndpointSearch, type FoundEndpoint} from './endpoint-search.js';
import {type EndpointAnswer} from './endpoint-exchange.js';
import {EventSplitter} from './event-splitter.js';
import {logFailedAttempt} from './log-failed-attempt.js';
import {relayFailure} from './relay-failure.js';
import {reportEnd, type RequestOutcome} from './report-end.js';
import {FailureResponder} from './failure-responder.js';
import {RequestAttempts} from './request-attempts.js';
import {type RoutedWork} from './routed-work.js';
import {UnconnectedEndpoints} from './unconnected-endpoints.js';

export class RoutedRequest {
	readonly #context: GatewayContext;
	readonly #work: RoutedWork;
	readonly #deadline: number;
	readonly #attempted = new Set<string>();
	readonly #unconnected: UnconnectedEndpoints;
	readonly #search: EndpointSearch;
	/** Absent where requests without room are refused at once. */
	readonly #room: RoomSearch | undefined;
	readonly #crashScreen: CrashScreen;
	readonly #splitter: EventSplitter | undefined;
	readonly #failureResponder: FailureResponder;
	readonly #attempts: RequestAttempts;
	#hasCallerDisconnected = false;
	#isExpired = false;
	/** Whether the request counts towards the retries that its service may get. */
	#isCounted = false;
	#hasEnded = false;
	/** By how much the event loop was late when the request was read. */
	readonly #lagMilliseconds: number;
	/** Aborts when the caller disconnects or the deadline passes. */
	readonly #stop = new AbortController();
	#status = 0;
	/** How the last answer was transferred; unset once a log line has reported it. */
	#unreportedTransfer: AnswerTransfer | undefined;

	constructor(context: GatewayContext, work: RoutedWork) {
		this.#context = context;
		this.#work = work;
		this.#lagMilliseconds = context.eventLoopLag.current;
		this.#crashScreen = new CrashScreen(context, work);
		this.#unconnected = new UnconnectedEndpoints(context.paths, this.#attempted);
		this.#search = new EndpointSearch(context, work, this.#crashScreen, this.#attempted);
		const {route} = work.permitted;
		const callerTimeoutMilliseconds = work.head.deadlineMilliseconds ?? Number.POSITIVE_INFINITY;
		this.#deadline = work.arrivedAt.steady + Math.min(route.timeoutMilliseconds, callerTimeoutMilliseconds);
		this.#room = context.waiting?.includes(route)
			? new RoomSearch(context, context.waiting, {
				work, search: this.#search, deadline: this.#deadline, signal: this.#stop.signal,
			})
			: undefined;
		this.#splitter = route.kind === 'resumable-stream' ? new EventSplitter() : undefined;
		this.#failureResponder = new FailureResponder(work.response, context.refuse);
		this.#attempts = new RequestAttempts(context, {
			work,
			splitter: this.#splitter,
			deadline: this.#deadline,
			attempted: this.#attempted,
			unconnected: this.#unconnected,
			search: this.#search,
			crashScreen: this.#crashScreen,
			signal: this.#stop.signal,
		});
	}

	/** Whether its caller has the head of an answer. */
	get hasBegun(): boolean {
		return this.#work.response.headersSent;
	}

	/** Serves the request to its end. The response is always ended or closed when this resolves. */
	async run(): Promise<RequestOutcome> {
		const {response} = this.#work;
		const onClose = (): void => {
			this.#handleDisconnect();
		};

		if (response.destroyed) {
			this.#handleDisconnect();
		}

		response.once('close', onClose);
		const timer = setTimeout(() => {
			void this.expire();
		}, Math.max(0, this.#deadline - this.#now()));
		try {
			const end = await this.#attemptUntilDone();
			reportEnd(this.#context, this.#work, {
				end: end === 'client-left' && connectionCloseOf(this.#work.request.socket).closeReason === 'memory-limit' ? 'broken-off' : end,
				status: this.#failureResponder.status ?? this.#status,
				endpoints: [...this.#attempted],
				sends: this.#attempts.sends,
				mayHaveRun: this.#attempts.mayHaveRun,
				placedBy: this.#attempts.basis,
				firstByteAt: this.#attempts.firstByteAt,
				sentAt: this.#attempts.sentAt,
				queried: this.#search.queried,
				lagMilliseconds: this.#lagMilliseconds,
				silentMilliseconds: this.#attempts.silentMilliseconds,
				...unusualTransfer(this.#unreportedTransfer),
			}, this.#now());
			return end;
		} finally {
			this.#hasEnded = true;
			clearTimeout(timer);
			response.off('close', onClose);
		}
	}

	/** Ends the request as at its deadline; its caller gets an answer unless one has begun. */
	async expire(): Promise<void> {
		// After a pause of this process the timer runs before the sockets are read, and an answer may wait in one of them.
		await afterNextPoll();
		if (this.#hasEnded) {
			return;
		}

		this.#isExpired = true;
		this.#stop.abort();
		this.#attempts.cancel();
	}

	async #attemptUntilDone(): Promise<RequestOutcome> {
		for (;;) {
			const blocked = await this.#search.prepare(this.#stop.signal);
			if (blocked !== undefined) {
				return this.#failureResponder.fail(blocked, this.#attempts.mayHaveRun);
			}

			if (await hasCallerDisconnected(this.#work.request, this.#context.eventLoopLag.current)) {
				return 'client-left';
			}

			const early = this.#earlyEnd();
			if (early !== undefined) {
				return early;
			}

			const searchedAt = this.#now();
			this.#unconnected.regain();
			const found = await (this.#room ?? this.#search).find();
			if (found.kind === 'refused') {
				if (await this.#unconnected.regainSettled()) {
					continue;
				}

				return this.#failureResponder.fail(found.refusal, this.#attempts.mayHaveRun);
			}

			// The search may have waited for other instances.
			if (await hasCallerDisconnected(this.#work.request, this.#now() - searchedAt)) {
				return 'client-left';
			}

			const end = this.#earlyEnd() ?? (found.kind === 'found' ? await this.#attempt(found) : 'client-left');
			if (end !== undefined) {
				return end;
			}
		}
	}

	/** How the request ended if its caller has disconnected or its deadline has passed. */
	#earlyEnd(): RequestOutcome | undefined {
		if (this.#hasCallerDisconnected) {
			return 'client-left';
		}

		return this.#isExpired || this.#now() >= this.#deadline ? this.#failureResponder.expire(this.#attempts.mayHaveRun) : undefined;
	}

	/** Makes one attempt. Returns how the request ended, or `undefined` if another attempt follows. */
	async #attempt(found: FoundEndpoint): Promise<RequestOutcome | undefined> {
		const {clock, retryBudget} = this.#context;
		if (!this.#isCounted) {
			this.#isCounted = true;
			retryBudget.countRequest(this.#work.permitted.service, clock.moment().steady);
		}

		const {endpoint, result} = await this.#attempts.run(found);
		this.#room?.noteEnded(endpoint.name, result.outcome, this.#attempts);
		this.#unreportedTransfer = result.transfer;
		this.#status = result.answer?.status ?? this.#status;
		if (result.outcome === 'whole') {
			this.#crashScreen.noteServed(this.#attempts.sentAt ?? this.#now());
			return 'whole';
		}

		if (result.outcome === 'client-left' || this.#hasCallerDisconnected) {
			// An endpoint that stalls would hold the connection indefinitely; a non-idempotent call may finish within its timeout.
			result.answer?.discard(result.outcome === 'rejected' ? undefined : Math.max(0, this.#deadline - this.#now()));
			return 'client-left';
		}

		if (this.#isExpired) {
			return this.#failureResponder.expire(this.#attempts.mayHaveRun);
		}

		const step = this.#stepAfter(result.outcome, await this.#crashScreen.hasProbablyCrashed(endpoint, result));
		logFailedAttempt(this.#context.log, {
			id: this.#work.head.attemptId, endpoint: endpoint.name, result, step, sends: this.#attempts.sends, fingerprint: () => this.#crashScreen.fingerprint,
		});
		this.#unreportedTransfer = undefined;
		if (step !== 'await-caller') {
			return this.#carryOut(step, result.answer);
		}

		result.answer?.discard();
		await this.#context.memory?.openAnswerTo(this.#work.response)?.untilRead(this.#stop.signal);
		return this.#earlyEnd() ?? this.#carryOut(this.#stepAfter(result.outcome, false), undefined);
	}

	#stepAfter(outcome: AttemptOutcome, hasProbablyCrashed: boolean): NextStep {
		const {permitted: {route, service}} = this.#work;
		return decideNextStep(outcome, {
			kind: route.kind,
			sends: this.#attempts.sends,
			maxSends: route.maxAttempts,
			mayHaveRun: this.#attempts.mayHaveRun,
			hasProbablyCrashed,
			isCallerStalled: this.#context.memory?.openAnswerTo(this.#work.response)?.pausedAt !== undefined,
			remainingMilliseconds: this.#deadline - this.#now(),
		}, () => this.#context.retryBudget.takeRetry(service, this.#now()));
	}

	/** Carries out the step after a failed attempt. Returns how the request ended, or `undefined` if another attempt follows. */
	async #carryOut(step: NextStep, answer: EndpointAnswer | undefined): Promise<RequestOutcome | undefined> {
		switch (step) {
			case 'repeat':
			case 'resume': {
				answer?.discard();
				return undefined;
			}

			case 'pass-on': {
				return this.#relayFailure(answer!);
			}

			case 'await-caller':
			case 'break-off': {
				abortAnswer(this.#work.response);
				return 'broken-off';
			}

			case 'refuse':
			case 'fail': {
				answer?.discard();
				const refusal = this.#search.rejectedRefusal();
				const {mayHaveRun} = this.#attempts;
				return this.#failureResponder.fail(mayHaveRun ? refusal : this.#room?.refuseRejected(refusal) ?? refusal, mayHaveRun);
			}
		}
	}

	async #relayFailure(answer: EndpointAnswer): Promise<RequestOutcome> {
		const {head, response} = this.#work;
		const {outcome, transfer} = await relayFailure({
			id: head.attemptId, answer, response, log: this.#context.log, memory: this.#context.memory,
		});
		if (transfer !== undefined) {
			this.#unreportedTransfer = transfer;
			this.#status = answer.status;
		}

		if (outcome !== 'whole') {
			// The rest of the body is not read, so an endpoint that has stalled would hold its connection indefinitely.
			this.#attempts.cancel();
		}

		if (outcome === 'cut' && this.#isExpired) {
			return this.#failureResponder.expire(this.#attempts.mayHaveRun);
		}

		if (outcome === 'cut') {
			abortAnswer(response);
			return 'broken-off';
		}

		return outcome === 'whole' ? 'failure-passed-on' : 'client-left';
	}

	/**
	 * Handles a disconnect of the caller. Idempotent requests and streams are cancelled, since nobody reads their answers. A
	 * non-idempotent call is left to finish, since cancelling it would leave it half done and save little.
	 */
	#handleDisconnect(): void {
		if (this.#work.response.writableFinished) {
			return;
		}

		this.#hasCallerDisconnected = true;
		this.#stop.abort();
		if (this.#work.permitted.route.kind !== 'non-idempotent') {
			this.#attempts.cancel();
		}
	}

	#now(): number {
		return this.#context.clock.moment().steady;
	}
}
