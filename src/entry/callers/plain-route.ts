/**
 * Forwards calls to plain services. A call with an idempotency key that must run at most once is sent under a claim in the
 * table service.
 */
import {randomUUID} from 'node:crypto';
import {type Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Either, Left, Right} from 'purify-ts/Either';
import {type PlainAnswer, type PlainCall, type PlainFailure} from '../../ports/plain-service.js';
import {claimKeyOf} from '../../protocol/claim/claim-row.js';
import {digestOf} from '../../shared/digest-of.js';
import {type NodeExchange} from '../../shared/node-route.js';
import {type Refusal, type ServiceItem, type WorkspaceItem} from '../../shared/types.js';
import {type EntryContext} from '../entry-context.js';
import {hasCallerDisconnected} from '../../serving/has-caller-disconnected.js';
import {sendRefusal} from '../../serving/send-refusal.js';
import {readCallerBody} from './read-caller-body.js';
import {type AtMostOnceRunner} from './at-most-once-runner.js';
import {sendCompleteAnswer} from './send-complete-answer.js';

const defaultBodyLimitBytes = 1_048_576;
const retryDelayMilliseconds = 2000;
const callTimeoutMilliseconds = 30_000;
const maxAttempts = 3;
const maxKeyCharacters = 255;
const idempotentMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE']);
const pathPattern = /^\/services\/(?<service>[^\/?]+)(?<rest>\/.*)?$/v;
const forwardedHeaders = ['content-type', 'accept'] as const;

type PlainServiceItem = ServiceItem & {kind: 'plain'};
type PlainRequest = {
	workspace: WorkspaceItem;
	service: PlainServiceItem;
	call: PlainCall;
	idempotencyKey: string | undefined;
};

/** The caller of a call that is not worth finishing for nobody. */
type Caller = {
	/** Aborts if the caller disconnects before the answer was written. */
	disconnectSignal: AbortSignal;
	/** Checks whether the caller has disconnected, also shortly before the signal tells. */
	hasDisconnected(): Promise<boolean>;
};

export class PlainRoute {
	readonly #context: EntryContext;
	readonly #atMostOnceRunner: AtMostOnceRunner;

	constructor(context: EntryContext, atMostOnceRunner: AtMostOnceRunner) {
		this.#context = context;
		this.#atMostOnceRunner = atMostOnceRunner;
	}

	async call(workspace: WorkspaceItem, {request, response}: NodeExchange): Promise<void> {
		const parts = pathPattern.exec(request.url ?? '')?.groups;
		const {version, services} = this.#context.configuration.state;
		const refusal = this.#validate(workspace.name, parts?.service ?? '');
		if (refusal !== undefined) {
			sendRefusal(response, refusal);
			return;
		}

		const service = services.get(parts?.service ?? '') as PlainServiceItem;

		const body = await readCallerBody(this.#context, {request, response}, defaultBodyLimitBytes);
		const parsed = keyOf(request).chain(idempotencyKey => body.map(bytes => ({idempotencyKey, bytes})));
		if (parsed.isLeft()) {
			sendRefusal(response, parsed.extract());
			return;
		}

		if (await hasCallerDisconnected(request, this.#context.eventLoopLag.current)) {
			return;
		}

		const {idempotencyKey, bytes} = parsed.unsafeCoerce();
		const plainRequest = {
			workspace, service, call: callOf(request, parts?.rest ?? '/', bytes), idempotencyKey,
		};
		const {requests, clock} = this.#context;
		const {requestId} = plainRequest.call;
		requests.begin({
			requestId, workspace: workspace.name, service: service.name, priority: workspace.priority, arrivedAt: clock.now(),
		});
		requests.admit(requestId);
		answer(response, await this.#run(plainRequest, {version, caller: callerOf(request, response)}));
		requests.end(requestId);
	}

	async #run(request: PlainRequest, {version, caller}: {version: number; caller: Caller}): Promise<Either<Refusal, PlainAnswer>> {
		const {workspace, service, call, idempotencyKey} = request;
		if (idempotencyKey === undefined || !needsClaim(service, call)) {
			const sent = await this.#send(request, caller);
			return sent.mapLeft(refusalOf);
		}

		return this.#atMostOnceRunner.run({
			claimKey: claimKeyOf(workspace.name, service.name, idempotencyKey),
			bodyDigest: digestOf(`${call.method} ${call.path}\n${call.body.toString('base64')}`),
			configurationVersion: version,
			refuseByConfiguration: () => this.#validate(workspace.name, service.name),
			// A claimed call continues when its caller disconnects: its answer is recorded for a duplicate request.
			send: async () => this.#send(request),
			askAt: `/v1/calls/${encodeURIComponent(service.name)}/${encodeURIComponent(idempotencyKey)}`,
		});
	}

	/** Validates a call against the configuration now in force; returns the refusal if it is not allowed. */
	#validate(workspaceName: string, serviceName: string): Refusal | undefined {
		const {workspaces, services} = this.#context.configuration.state;
		const service = services.get(serviceName);
		if (service?.kind !== 'plain' || !workspaces.get(workspaceName)?.services.includes(serviceName)) {
			return {reason: 'not-found', ran: 'not-run', message: 'there is no such service for this workspace'};
		}

		return service.paused
			? {
				reason: 'paused', ran: 'not-run', message: `"${serviceName}" is paused`, retryAfterMilliseconds: 30_000,
			}
			: undefined;
	}

	/**
	 * Sends the call to one endpoint after another until one answers. After a failure with unknown outcome, only idempotent
	 * calls are sent to the next endpoint, because it could run any other call a second time.
	 */
	async #send({service, call}: PlainRequest, caller?: Caller): Promise<Either<PlainFailure, PlainAnswer>> {
		const {endpoints, settings, plain, clock} = this.#context;
		const timeout = AbortSignal.timeout(callTimeoutMilliseconds);
		const signal = caller === undefined ? timeout : AbortSignal.any([timeout, caller.disconnectSignal]);
		const mayRetry = idempotentMethods.has(call.method) && !isAtMostOnce(service, call);
		let mayHaveRun = false;
		let sent: Either<PlainFailure, PlainAnswer> = Left({kind: 'not-sent', detail: 'no endpoint is live'});
		for (const {address} of endpoints.plainEndpointsOf(service.name, settings.dataCentre, clock.now()).slice(0, maxAttempts)) {
			if (await caller?.hasDisconnected() === true) {
				break;
			}

			sent = await plain.call(address, call, signal);
			const failure = sent.isLeft() ? sent.extract() : undefined;
			if (failure === undefined || (failure.kind === 'outcome-unknown' && !mayRetry)) {
				return sent;
			}

			mayHaveRun ||= failure.kind === 'outcome-unknown';
		}

		// The last endpoint's "not sent" does not show that an earlier endpoint did not run the call.
		return mayHaveRun ? sent.mapLeft(({detail}) => ({kind: 'outcome-unknown', detail})) : sent;
	}
}

/** Reads the idempotency key: `undefined` if there is none, a refusal if it is invalid. */
function keyOf(request: IncomingMessage): Either<Refusal, string | undefined> {
	const key = request.headers['idempotency-key'];
	if (key === undefined) {
		return Right(undefined);
	}

	const isUsable = typeof key === 'string' && key !== '' && key.length <= maxKeyCharacters;
	return isUsable ? Right(key) : Left({reason: 'bad-request', ran: 'not-run', message: `an idempotency key has 1 to ${maxKeyCharacters} characters`});
}

function callerOf(request: IncomingMessage, response: ServerResponse): Caller {
	const disconnected = new AbortController();
	response.once('close', () => {
		if (!response.writableFinished) {
			disconnected.abort();
		}
	});
	return {disconnectSignal: disconnected.signal, hasDisconnected: async () => hasCallerDisconnected(request, 0)};
}

function isAtMostOnce(service: PlainServiceItem, call: PlainCall): boolean {
	return service.neverTwice.some(rule => rule.method === call.method && call.path.startsWith(rule.path));
}

/**
 * A call with a key needs a claim if it is declared to run at most once, and also if its method is not idempotent: a
 * partitioned instance may not have received the change that declares the call, and would send a duplicate request again.
 */
function needsClaim(service: PlainServiceItem, call: PlainCall): boolean {
	return isAtMostOnce(service, call) || !idempotentMethods.has(call.method);
}

function callOf(request: IncomingMessage, path: string, body: Buffer): PlainCall {
	const headers = forwardedHeaders
		.map(name => [name, request.headers[name]] as const)
		.filter((entry): entry is [typeof forwardedHeaders[number], string] => typeof entry[1] === 'string');
	return {
		method: request.method ?? 'GET', path, headers: Object.fromEntries(headers), body, requestId: randomUUID(),
	};
}

function refusalOf(failure: PlainFailure): Refusal {
	return failure.kind === 'not-sent'
		? {
			reason: 'no-endpoint', ran: 'not-run', message: failure.detail, retryAfterMilliseconds: retryDelayMilliseconds,
		}
		: {
			reason: 'outcome-unknown', ran: 'unknown', message: failure.detail, retryAfterMilliseconds: retryDelayMilliseconds,
		};
}

function answer(response: ServerResponse, result: Either<Refusal, PlainAnswer>): void {
	result.caseOf({
		Left(refusal) {
			sendRefusal(response, refusal);
		},
		Right(plain) {
			sendCompleteAnswer(response, plain);
		},
	});
}
