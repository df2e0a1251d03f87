/** Passes calls on to plain services; those declared as never twice go through a claim. */
import {randomUUID} from 'node:crypto';
import {type Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Either, Left} from 'purify-ts/Either';
import {type PlainAnswer, type PlainCall, type PlainFailure} from '../../ports/plain-service.js';
import {claimKeyOf} from '../../protocol/claim/claim-row.js';
import {digestOf} from '../../shared/digest-of.js';
import {type NodeExchange} from '../../shared/node-route.js';
import {type Refusal, type ServiceItem, type WorkspaceItem} from '../../shared/types.js';
import {type EntryContext} from '../entry-context.js';
import {type NeverTwiceRunner} from './never-twice-runner.js';
import {readBody} from './read-body.js';
import {sendRefusal} from './send-refusal.js';

const bodyLimitBytes = 1_048_576;
const comeBackMilliseconds = 2000;
const pathPattern = /^\/services\/(?<service>[^\/?]+)(?<rest>\/.*)?$/v;
const passedOnHeaders = ['content-type', 'accept'] as const;

type PlainServiceItem = ServiceItem & {kind: 'plain'};
type PlainRequest = {
	workspace: WorkspaceItem;
	service: PlainServiceItem;
	call: PlainCall;
	idempotencyKey: string | undefined;
};

export class PlainRoute {
	readonly #context: EntryContext;
	readonly #neverTwice: NeverTwiceRunner;

	constructor(context: EntryContext, neverTwice: NeverTwiceRunner) {
		this.#context = context;
		this.#neverTwice = neverTwice;
	}

	async call(workspace: WorkspaceItem, {request, response}: NodeExchange): Promise<void> {
		const parts = pathPattern.exec(request.url ?? '')?.groups;
		const service = this.#context.configuration.state.services.get(parts?.service ?? '');
		if (service?.kind !== 'plain' || !workspace.services.includes(service.name)) {
			sendRefusal(response, {reason: 'not-found', ran: 'not-run', message: 'there is no such service for this workspace'});
			return;
		}

		if (service.paused) {
			sendRefusal(response, {
				reason: 'paused', ran: 'not-run', message: `"${service.name}" is paused`, retryAfterMilliseconds: 30_000,
			});
			return;
		}

		const body = await readBody(request, bodyLimitBytes);
		if (body.isLeft()) {
			sendRefusal(response, body.extract());
			return;
		}

		const plainRequest = {
			workspace, service, call: callOf(request, parts?.rest ?? '/', body.extract() as Buffer), idempotencyKey: request.headers['idempotency-key'] as string | undefined,
		};
		const {requests, clock} = this.#context;
		const {requestId} = plainRequest.call;
		requests.begin({
			requestId, workspace: workspace.name, service: service.name, priority: workspace.priority, arrivedAt: clock.now(),
		});
		requests.admit(requestId);
		answer(response, await this.#run(plainRequest));
		requests.end(requestId);
	}

	async #run(request: PlainRequest): Promise<Either<Refusal, PlainAnswer>> {
		const {workspace, service, call, idempotencyKey} = request;
		if (!isNeverTwice(service, call) || idempotencyKey === undefined) {
			const sent = await this.#send(request);
			return sent.mapLeft(refusalOf);
		}

		return this.#neverTwice.run({
			claimKey: claimKeyOf(workspace.name, service.name, idempotencyKey),
			bodyDigest: digestOf(`${call.method} ${call.path}\n${call.body.toString('base64')}`),
			send: async () => this.#send(request),
			askAt: `/v1/calls/${encodeURIComponent(service.name)}/${encodeURIComponent(idempotencyKey)}`,
		});
	}

	async #send({service, call}: PlainRequest): Promise<Either<PlainFailure, PlainAnswer>> {
		const {endpoints, settings, plain} = this.#context;
		const [endpoint] = endpoints.plainEndpointsOf(service.name, settings.dataCentre);
		return endpoint === undefined
			? Left({kind: 'not-sent', detail: 'no endpoint is live'})
			: plain.call(endpoint.address, call, AbortSignal.timeout(30_000));
	}
}

function isNeverTwice(service: PlainServiceItem, call: PlainCall): boolean {
	return service.neverTwice.some(rule => rule.method === call.method && call.path.startsWith(rule.path));
}

function callOf(request: IncomingMessage, path: string, body: Buffer): PlainCall {
	const headers = passedOnHeaders
		.map(name => [name, request.headers[name]] as const)
		.filter((entry): entry is [typeof passedOnHeaders[number], string] => typeof entry[1] === 'string');
	return {
		method: request.method ?? 'GET', path, headers: Object.fromEntries(headers), body, requestId: randomUUID(),
	};
}

function refusalOf(failure: PlainFailure): Refusal {
	return failure.kind === 'not-sent'
		? {
			reason: 'no-endpoint', ran: 'not-run', message: failure.detail, retryAfterMilliseconds: comeBackMilliseconds,
		}
		: {
			reason: 'outcome-unknown', ran: 'unknown', message: failure.detail, retryAfterMilliseconds: comeBackMilliseconds,
		};
}

function answer(response: ServerResponse, result: Either<Refusal, PlainAnswer>): void {
	result.caseOf({
		Left(refusal) {
			sendRefusal(response, refusal);
		},
		Right(plain) {
			response.writeHead(plain.status, plain.headers);
			response.end(plain.body);
		},
	});
}
