/** Handles clients' requests: validates the head, reads the body, and routes each permitted request to an endpoint. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Either} from 'purify-ts/Either';
import {retryAfterMilliseconds} from '../../decision/memory/retry-after.js';
import {type OpenBodyAccount, openBodyAccount} from '../../serving/open-body-account.js';
import {readBody} from '../../serving/read-body.js';
import {type Moment} from '../../ports/moment-clock.js';
import {type Refusal} from '../../shared/types.js';
import {type GatewayContext} from '../gateway-context.js';
import {validateRequest, type PermittedRequest} from './validate-request.js';
import {readRequestHead, type RequestHead} from './request-head.js';
import {resumeStream, type ResumedStream} from './resume-stream.js';
import {resumptionFields} from './resumption-fields.js';
import {RoutedRequest} from './routed-request.js';
import {type RoutedWork} from './routed-work.js';

const stoppingRefusal: Refusal = {
	reason: 'draining', ran: 'not-run', message: 'this instance stops before the request would be answered for certain', retryAfterMilliseconds: 0,
};

const lateBodyRefusal: Refusal = {reason: 'deadline', ran: 'not-run', message: 'the body did not arrive before the deadline'};

export class GatewayRequestHandler {
	readonly #context: GatewayContext;
	#open = 0;
	readonly #running = new Set<RoutedRequest>();
	/** When this instance answers no more, in milliseconds of the steady clock. */
	#endsAt = Number.POSITIVE_INFINITY;

	constructor(context: GatewayContext) {
		this.#context = context;
	}

	/** Number of requests in flight. */
	get open(): number {
		return this.#open;
	}

	/**
	 * Refuses requests from now on that may last longer than this instance.
	 *
	 * @param endsAt - When it answers no more, in milliseconds of the steady clock.
	 */
	endAt(endsAt: number): void {
		this.#endsAt = endsAt;
	}

	/** Answers all requests in flight whose answer has not begun. */
	expireAll(): void {
		for (const request of this.#running) {
			// An answer that has begun may still be completed.
			if (!request.hasBegun) {
				void request.expire();
			}
		}
	}

	/** Answers one request. */
	async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		this.#open++;
		this.#context.metrics.openRequests.set(this.#open);
		try {
			await this.#validateAndRun(request, response);
		} catch (error) {
			// An exception in one request must not end the process; the listener answers the request or closes its connection.
			this.#context.log.record('fault', {path: 'request', error: String(error)});
			throw error;
		} finally {
			this.#open--;
			this.#context.metrics.openRequests.set(this.#open);
		}
	}

	async #validateAndRun(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const {configuration, clock, names} = this.#context;
		const arrivedAt = clock.moment();
		const head = readRequestHead(request, names);
		const validation = validateRequest(head, configuration, arrivedAt);
		if (validation.isLeft()) {
			this.#refuse(response, head, validation.extract());
			return;
		}

		const permitted = validation.extract() as PermittedRequest;
		const held = this.#openBody(request, response, head);
		if (held?.isLeft()) {
			this.#refuse(response, head, held.extract());
			return;
		}

		const account = held?.unsafeCoerce();
		try {
			const body = await readBody(request, configuration.current!.limits.bodyBytes, account, {
				milliseconds: timeoutOf(head, permitted), refusal: lateBodyRefusal,
			});
			if (body.isLeft()) {
				if (body.extract() === lateBodyRefusal && !response.headersSent) {
					// Its caller has stopped sending, or waits for no answer any more.
					response.setHeader('connection', 'close');
				}

				this.#refuse(response, head, body.extract());
				return;
			}

			if (this.#mayOutlastInstance(head, permitted, arrivedAt)) {
				this.#refuse(response, head, stoppingRefusal);
				return;
			}

			await this.#run({
				head, permitted, arrivedAt, request, response, body: body.unsafeCoerce(),
			});
		} finally {
			account?.release();
		}
	}

	async #run({
		head, permitted, arrivedAt, ...exchange
	}: Pick<RoutedWork, 'head' | 'permitted' | 'arrivedAt' | 'request' | 'response' | 'body'>): Promise<void> {
		const resumed = await resumeStream(this.#context, {head, permitted, arrivedAt});
		if (resumed.isLeft()) {
			this.#refuse(exchange.response, head, resumed.extract());
			return;
		}

		const running = new RoutedRequest(this.#context, {
			head, ...resumed.extract() as ResumedStream, arrivedAt, ...exchange,
		});
		this.#running.add(running);
		try {
			await running.run();
		} finally {
			this.#running.delete(running);
		}
	}

	/** A request that arrives while this instance stops is taken only if it ends before, whatever its endpoint does. */
	#mayOutlastInstance(head: RequestHead, permitted: PermittedRequest, arrivedAt: Moment): boolean {
		return arrivedAt.steady + timeoutOf(head, permitted) > this.#endsAt;
	}

	/** Counts the body of a request; a refusal if there is no room for it, and `undefined` where memory is not limited. */
	#openBody(request: IncomingMessage, response: ServerResponse, head: RequestHead): Either<Refusal, OpenBodyAccount> | undefined {
		const {memory} = this.#context;
		if (memory === undefined) {
			return undefined;
		}

		return openBodyAccount(memory, {request, response, limitBytes: this.#context.configuration.current!.limits.bodyBytes}, () => ({
			reason: 'memory-limit',
			ran: 'not-run',
			message: 'this instance has no memory left for the body',
			retryAfterMilliseconds: retryAfterMilliseconds(head.attemptId, head.deadlineMilliseconds ?? Number.POSITIVE_INFINITY),
		}));
	}

	#refuse(response: ServerResponse, head: RequestHead, refusal: Refusal): void {
		const {configuration, clock, log} = this.#context;
		if (response.destroyed) {
			return;
		}

		const isOutOfMemory = refusal.reason === 'memory-limit';
		if (isOutOfMemory) {
			this.#context.metrics.memoryOutcomes.inc({reason: 'refused'});
		}

		const status = this.#context.refuse(response, refusal);
		log.record('request-refused', {
			id: head.attemptId,
			host: head.host,
			reason: refusal.reason,
			status,
			message: refusal.message,
			...resumptionFields(head),
			...(isOutOfMemory ? this.#context.memory?.state : {}),
			configurationVersion: configuration.current?.version,
			configurationAgeMilliseconds: Math.round(Math.min(1e9, configuration.ageAt(clock.moment()))),
		});
	}
}

/** How long a request may take, in milliseconds. */
function timeoutOf({deadlineMilliseconds = Number.POSITIVE_INFINITY}: RequestHead, {route}: PermittedRequest): number {
	return Math.min(deadlineMilliseconds, route.timeoutMilliseconds);
}
