/**
 * One attempt to serve a request at one endpoint: sends the request, classifies the answer by its head, and relays the body
 * as it arrives. What follows a failed attempt is decided in `decision/attempts`.
 */
import {type AttemptEnd} from '../../decision/attempts/attempt-end.js';
import {isRelayAllowed} from '../../decision/routing/allowed-regions.js';
import {incarnationOf} from '../../shared/endpoint-record.js';
import {hasCallerDisconnected} from '../../serving/has-caller-disconnected.js';
import {type GatewayContext} from '../gateway-context.js';
import {type AttemptResult, transferOf} from './attempt-result.js';
import {classifyAnswer, isServedAnswer} from './classify-answer.js';
import {endDetails} from './end-details.js';
import {type EndpointAnswer, type OpenExchange} from './endpoint-exchange.js';
import {declaredRanksOf} from './declared-ranks.js';
import {endpointHeaders} from './endpoint-headers.js';
import {logLateWrite} from './log-late-write.js';
import {noteAnnouncements} from './note-announcements.js';
import {planBlockTransfers} from './plan-block-transfers.js';
import {parseEndpointLoad} from './parse-endpoint-load.js';
import {relayAnswer} from './relay-answer.js';
import {AttemptWatch} from './attempt-watch.js';
import {type AttemptTarget, type AttemptWork} from './attempt-work.js';

export class EndpointAttempt {
	/** When it was sent, in milliseconds of the steady clock. */
	sentAt = 0;
	readonly #context: GatewayContext;
	readonly #work: AttemptWork;
	readonly #target: AttemptTarget;
	readonly #watch: AttemptWatch;
	#exchange: OpenExchange | undefined;
	#endReason: AttemptEnd | undefined;
	#isRelayed = false;
	/** Whether the endpoint ended the connection before the head of an answer: it can be reached, and may be full. */
	#isReset = false;

	constructor(context: GatewayContext, work: AttemptWork, target: AttemptTarget) {
		this.#context = context;
		this.#work = work;
		this.#target = target;
		this.#watch = new AttemptWatch(context, work, target, reason => {
			this.#end(reason);
		});
	}

	/** Sends the request and relays the answer. */
	async run(): Promise<AttemptResult> {
		const {
			placement, rests, exchanges, names, metrics, log, eventLoopLag, paths, relays, brittle, configuration, warmUps, regions, urgency,
		} = this.#context;
		const {head, permitted, body, splitter, deadline} = this.#work;
		const {endpoint, request, basis} = this.#target;
		this.sentAt = this.#now();
		placement.observe({
			kind: 'sent', request, endpoint, basis,
		}, this.sentAt);
		if (basis.avoidsSlow) {
			metrics.slowEndpointsAvoided.inc({service: endpoint.service});
		}

		brittle.noteSent(endpoint);
		rests.noteSent(incarnationOf(endpoint), this.sentAt);
		const connection = paths.isRelayed(endpoint) ? relays.connect(endpoint, deadline - this.#now(), {isAllowed: dataCentre => isRelayAllowed(permitted, regions, dataCentre)}) : undefined;
		this.#isRelayed = connection !== undefined;
		this.#exchange = exchanges.open({
			address: endpoint.address,
			connectionLimit: configuration.current?.services.get(endpoint.service)?.connectionLimit ?? 0,
			connection,
			method: head.method,
			target: head.target,
			rawHeaders: endpointHeaders({
				head,
				permitted,
				endpoint,
				engineRank: urgency.engineRank(declaredRanksOf(permitted)),
				remainingMilliseconds: deadline - this.#now(),
				bodyBytes: body.length,
				lastEventId: splitter?.lastId,
				blockTransfers: planBlockTransfers(this.#context, this.#work, endpoint),
			}, names),
			body,
			attemptId: head.attemptId,
			attemptIdHeader: names.attemptId,
			isStillWanted: async () => !await hasCallerDisconnected(this.#work.response.req, eventLoopLag.current),
			onWrite: use => {
				const now = this.#now();
				metrics.endpointConnections.inc({service: endpoint.service, connection: use});
				logLateWrite(log, {
					id: head.attemptId,
					endpoint: endpoint.name,
					connection: use,
					leftMilliseconds: deadline - now,
					openedMilliseconds: now - this.sentAt,
					lagMilliseconds: eventLoopLag.current,
				});
			},
		});
		this.#watch.start();
		const result = await this.#awaitResult(this.#exchange);
		this.#watch.stop(this.#endReason === 'replaced');
		if (result.outcome === 'not-sent' && !this.#isReset) {
			this.#noteNotConnected();
		}

		if (result.outcome === 'not-sent' && !this.#isReset && !this.#isRelayed) {
			warmUps.noteLost(endpoint);
		}

		placement.observe({
			kind: 'ended', request, endpoint, outcome: this.#placementOutcomeOf(result.outcome),
		}, this.#now());
		brittle.noteEnded(endpoint, this.#slotEndOf(result.outcome));
		metrics.attempts.inc({outcome: result.outcome});
		const {framing, bodyEnd} = result.transfer;
		if (framing !== undefined && bodyEnd !== undefined) {
			metrics.answers.inc({framing, ending: bodyEnd});
		}

		return {...result, silentMilliseconds: this.#watch.silentMilliseconds};
	}

	/** Closes the connection, so that the endpoint stops its work. */
	cancel(): void {
		this.#end('not-needed');
	}

	/** Ends the attempt in favour of another one that has an answer, which goes on after the last complete event. */
	replace(): void {
		this.#watch.noteUnanswered();
		this.#work.splitter?.flush();
		this.#end('replaced');
	}

	/** Ends an attempt that was to replace another one, which has gone on. */
	supersede(): void {
		this.#end('superseded');
	}

	/** The only way in which an attempt is ended while its connection may still bring an answer. */
	#end(reason: AttemptEnd): void {
		this.#endReason ??= reason;
		this.#exchange?.cancel();
	}

	async #awaitResult(exchange: OpenExchange): Promise<AttemptResult> {
		const answered = await exchange.answer;
		if (answered.isLeft()) {
			const {kind, connection, isReset, detail} = answered.extract();
			this.#isReset = isReset;
			const wasSent = kind === 'unknown';
			const outcome = kind === 'not-wanted' ? 'client-left' : kind;
			return {
				outcome, wasSent, mayHaveRun: wasSent, isConnectionLost: wasSent && !this.#isAborted, transfer: {connection}, detail: this.#detailOf(detail),
			};
		}

		const answer = answered.unsafeCoerce();
		this.#watch.noteBytes();
		this.#context.placement.received(this.#target.endpoint, this.#now());
		const {head: {attemptId, acceptEncoding}, permitted: {route: {kind}}, response} = this.#work;
		const {names} = this.#context;
		const request = {
			attemptId, kind, acceptEncoding, hasBegun: response.headersSent,
		};
		const outcome = classifyAnswer(answer, request, names);
		if (outcome === 'unknown') {
			exchange.cancel();
		}

		this.#updateRegistry(answer, isServedAnswer(answer, outcome, request, names));
		if (outcome !== 'unknown' && answer.status !== 421) {
			this.#notePace(answer);
		}

		if (outcome === 'usable' && this.#target.mayRelay()) {
			return this.#relay(answer);
		}

		if (outcome === 'usable') {
			this.supersede();
			return {
				outcome: 'unknown', wasSent: true, mayHaveRun: true, transfer: transferOf(answer, {bodyEnd: 'unread'}), detail: this.#detailOf(''),
			};
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

	/** Records that no connection to the endpoint was established, by whose failure. */
	#noteNotConnected(): void {
		const {paths} = this.#context;
		const {endpoint} = this.#target;
		if (this.#isAborted) {
			return;
		}

		if (this.#isRelayed) {
			paths.noteRelayFailed(endpoint);
		} else {
			paths.noteNotConnected(endpoint);
		}
	}

	async #relay(answer: EndpointAnswer): Promise<AttemptResult> {
		const {placement, names, log} = this.#context;
		const {head, response, splitter} = this.#work;
		const {endpoint, request, onFirstBytes, onBytes} = this.#target;
		const {outcome, ...read} = await relayAnswer({
			answer,
			response,
			splitter: answer.status === 200 ? splitter : undefined,
			held: this.#context.memory?.answerTo(response, head.attemptId),
			onFirstBytes: () => {
				this.#watch.noteBegun();
				onFirstBytes(answer.status);
				placement.observe({
					kind: 'answered', request, endpoint, load: parseEndpointLoad(answer.header(names.endpointLoad)),
				}, this.#now());
			},
			onBytes: () => {
				placement.received(endpoint, this.#now());
				this.#watch.noteBytes();
				onBytes();
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

		const isConnectionLost = !this.#isAborted;
		this.#exchange?.cancel();
		// After half of a failure's body, another endpoint's events would be appended to it, and the answer would look complete.
		// After events without an id no endpoint knows where to resume: it would start over and send the events twice.
		const isResumable = answer.status === 200 && (splitter === undefined || (splitter.lastId ?? '') !== '');
		const brokenOutcome = isResumable ? 'cut' : 'torn';
		// Drops the incomplete event of the broken answer; the next endpoint sends that event from its start. A replacement may have
		// begun to do so, and shares the splitter; so does a silent endpoint that this one was to replace.
		if (this.#endReason !== 'replaced' && read.bodyBytes > 0) {
			splitter?.flush();
		}

		return {
			outcome: response.headersSent ? brokenOutcome : 'unknown',
			wasSent: true,
			mayHaveRun: true,
			isConnectionLost,
			answer,
			transfer,
			detail: this.#detailOf('the answer ended before it was complete'),
		};
	}

	#updateRegistry(answer: EndpointAnswer, isServed: boolean): void {
		const {names, endpoints} = this.#context;
		const {endpoint} = this.#target;
		const model = this.#work.head.prompt?.model;
		const version = Number(answer.header(names.weightVersion));
		if (model !== undefined && Number.isInteger(version) && version > 0) {
			endpoints.noteWeightVersion(endpoint.name, model, version);
		}

		noteAnnouncements(this.#context, {
			attemptId: this.#work.head.attemptId, endpoint, answer, isServed, sentAt: this.sentAt,
		});
		const answeringEndpoint = answer.header(names.endpointName);
		if (answer.status === 421 && answeringEndpoint !== undefined && answeringEndpoint !== endpoint.name) {
			endpoints.markLeaving(endpoint.name);
		}
	}

	/** Records the pace that the endpoint reports with its head: a rejection tells it as well, and the body may begin much later. */
	#notePace(answer: EndpointAnswer): void {
		const {placement, names, metrics} = this.#context;
		const {endpoint} = this.#target;
		const pacePercent = parseEndpointLoad(answer.header(names.endpointLoad))?.pacePercent;
		if (pacePercent !== undefined) {
			placement.notePace(endpoint, pacePercent, this.#now());
			metrics.meanPace.set({service: endpoint.service}, placement.meanPaceOf(endpoint.service) ?? 1);
		}
	}

	/** Explains why an attempt failed. The endpoint must not be blamed for an attempt that this process cancelled. */
	#detailOf(observedDetail: string): string {
		return this.#endReason === undefined ? observedDetail : endDetails[this.#endReason];
	}

	/** What the end of the attempt says of the endpoint's slot. */
	#slotEndOf(outcome: AttemptResult['outcome']): 'answered' | 'turned-away' | 'cancelled' {
		if (outcome === 'rejected') {
			return 'turned-away';
		}

		return this.#isAborted && outcome !== 'whole' && outcome !== 'not-sent' ? 'cancelled' : 'answered';
	}

	/** Whether this process ended the attempt. */
	get #isAborted(): boolean {
		return this.#endReason !== undefined;
	}

	#placementOutcomeOf(outcome: AttemptResult['outcome']): 'whole' | 'rejected' | 'failed' | 'unreachable' | 'cancelled' {
		if (outcome === 'whole' || outcome === 'rejected') {
			return outcome;
		}

		const isRelayAtFault = this.#isRelayed && outcome === 'not-sent';
		const isEndedHere = this.#endReason !== undefined && this.#endReason !== 'replaced' && this.#endReason !== 'process-ended';
		if (isEndedHere || outcome === 'client-left' || isRelayAtFault) {
			return 'cancelled';
		}

		return outcome === 'not-sent' && !this.#isReset ? 'unreachable' : 'failed';
	}

	#now(): number {
		return this.#context.clock.moment().steady;
	}
}
