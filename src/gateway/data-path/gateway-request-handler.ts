/** Handles clients' requests: validates the head, reads the body, and routes each permitted request to an endpoint. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {readBody} from '../../serving/read-body.js';
import {type Refusal} from '../../shared/types.js';
import {type GatewayContext} from '../gateway-context.js';
import {validateRequest, type PermittedRequest} from './validate-request.js';
import {readRequestHead, type RequestHead} from './request-head.js';
import {resumeStream, type ResumedStream} from './resume-stream.js';
import {resumptionFields} from './resumption-fields.js';
import {RoutedRequest} from './routed-request.js';

export class GatewayRequestHandler {
	readonly #context: GatewayContext;
	#open = 0;

	constructor(context: GatewayContext) {
		this.#context = context;
	}

	/** Number of requests in flight. */
	get open(): number {
		return this.#open;
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
		const body = await readBody(request, configuration.current!.limits.bodyBytes);
		if (body.isLeft()) {
			this.#refuse(response, head, body.extract());
			return;
		}

		const resumed = await resumeStream(this.#context, {head, permitted, arrivedAt});
		if (resumed.isLeft()) {
			this.#refuse(response, head, resumed.extract());
			return;
		}

		await new RoutedRequest(this.#context, {
			head, ...resumed.extract() as ResumedStream, body: body.unsafeCoerce(), arrivedAt, request, response,
		}).run();
	}

	#refuse(response: ServerResponse, head: RequestHead, refusal: Refusal): void {
		const {configuration, clock, log} = this.#context;
		if (response.destroyed) {
			return;
		}

		const status = this.#context.refuse(response, refusal);
		log.record('request-refused', {
			id: head.attemptId,
			host: head.host,
			reason: refusal.reason,
			status,
			message: refusal.message,
			...resumptionFields(head),
			configurationVersion: configuration.current?.version,
			configurationAgeMilliseconds: Math.round(Math.min(1e9, configuration.ageAt(clock.moment()))),
		});
	}
}
