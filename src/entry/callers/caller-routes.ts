/** The callers' HTTP routes: completions, the list of models, the state of claimed calls, plain services, and health. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type EventHandler, H3, type HTTPError} from 'h3';
import {type Either, Left, Right} from 'purify-ts/Either';
import {charactersPerToken} from '../../cache/block-keys.js';
import {nodeRoute, type NodeExchange} from '../../shared/node-route.js';
import {promptTextOf} from '../../shared/prompt-text-of.js';
import {type Refusal, type ServiceItem, type WorkspaceItem} from '../../shared/types.js';
import {type EntryContext} from '../entry-context.js';
import {hasCallerDisconnected} from '../../serving/has-caller-disconnected.js';
import {refusalBody, sendRefusal} from '../../serving/send-refusal.js';
import {type AdmissionGate} from './admission-gate.js';
import {authenticate} from './authenticate.js';
import {CallsRoute} from './calls-route.js';
import {CompletionWriter, type CompletionUsage} from './completion-writer.js';
import {
	type CompletionRequest, type CompletionShape, parseCompletionRequest,
} from './completion-request.js';
import {type CompletionJob} from './completion-job.js';
import {type CompletionRunner} from './completion-runner.js';
import {answerUnrouted} from './answer-unrouted.js';
import {OpenRequestLimiter} from './open-request-limiter.js';
import {type PlainRoute} from './plain-route.js';
import {readCallerBody} from './read-caller-body.js';
import {requestRule} from './request-rule.js';
import {sendJson} from './send-complete-answer.js';

const defaultBodyLimitBytes = 8_388_608;
const disconnectReason = new Error('the caller disconnected');
const operatorCancelReason = new Error('an operator cancelled the request');

/** The components that the routes pass requests to. */
export type CallerRoutesDependencies = {
	gate: AdmissionGate;
	runner: CompletionRunner;
	plainRoute: PlainRoute;
};

type ModelServiceItem = ServiceItem & {kind: 'model'};
type ParsedCompletion = {workspace: WorkspaceItem; completion: CompletionRequest; service: ModelServiceItem};
type ArrivedExchange = {request: IncomingMessage; arrivedAt: number; signal: AbortSignal};

export class CallerRoutes {
	readonly app = new H3({onError: typedErrorResponse});
	readonly #context: EntryContext;
	readonly #dependencies: CallerRoutesDependencies;
	readonly #open = new OpenRequestLimiter();

	constructor(context: EntryContext, dependencies: CallerRoutesDependencies) {
		this.#context = context;
		this.#dependencies = dependencies;
		this.#addHealthRoutes();
		const listModels = nodeRoute(async exchange => this.#listModels(exchange));
		this.app.get('/v1/models', listModels);
		this.app.head('/v1/models', listModels);
		this.app.post('/v1/chat/completions', nodeRoute(async exchange => this.#complete('chat', exchange)));
		this.app.post('/v1/completions', nodeRoute(async exchange => this.#complete('text', exchange)));
		this.app.get('/v1/calls/**', nodeRoute(async exchange => this.#queryCall(exchange)));
		this.app.all('/services/:service/**', nodeRoute(async exchange => this.#callService(exchange)));
		this.app.all('/**', nodeRoute(async exchange => {
			answerUnrouted(exchange);
		}));
	}

	#addHealthRoutes(): void {
		const healthz: EventHandler = () => ({status: 'alive'});
		const readyz: EventHandler = event => {
			const {draining, configuration, endpoints} = this.#context;
			const ready = !draining && configuration.startGate.isOpen && configuration.state.version > 0 && endpoints.isKnown;
			event.res.status = ready ? 200 : 503;
			return {ready, configurationVersion: configuration.state.version};
		};

		this.app.get('/healthz', healthz).head('/healthz', healthz);
		this.app.get('/readyz', readyz).head('/readyz', readyz);
	}

	async #listModels({request, response}: NodeExchange): Promise<void> {
		const {configuration} = this.#context;
		this.#workspaceOf(request).caseOf({
			Left(refusal) {
				sendRefusal(response, refusal);
			},
			Right(workspace) {
				const models = workspace.services
					.map(name => configuration.state.services.get(name))
					.filter(service => service?.kind === 'model')
					.map(service => ({
						id: service.model, object: 'model', created: 0, owned_by: 'savorygauge',
					}));
				sendJson(response, {object: 'list', data: models});
			},
		});
	}

	async #complete(shape: CompletionShape, {request, response}: NodeExchange): Promise<void> {
		const arrivedAt = this.#context.clock.now();
		const entered = this.#enter({request, response});
		if (entered.isLeft()) {
			sendRefusal(response, entered.extract());
			return;
		}

		const body = await readCallerBody(this.#context, {request, response}, defaultBodyLimitBytes);
		const parsed = entered.chain(workspace =>
			body.chain(bytes => parseCompletionRequest(shape, bytes))
				.chain(completion => this.#modelServiceOf(workspace, completion.model)
					.map(service => ({workspace, completion, service}))));
		if (parsed.isLeft()) {
			sendRefusal(response, parsed.extract());
			return;
		}

		if (await hasCallerDisconnected(request, this.#context.eventLoopLag.current)) {
			return;
		}

		const {workspace, completion, service} = parsed.unsafeCoerce();
		const cancellation = new AbortController();
		const job = this.#jobOf({workspace, completion, service}, {request, arrivedAt, signal: cancellation.signal});
		const {requestId, priority} = job.route;
		const cancel = (reason = operatorCancelReason): void => {
			cancellation.abort(reason);
			this.#dependencies.gate.cancel(requestId);
		};

		response.once('close', () => {
			this.#context.requests.end(requestId);
			if (!response.writableFinished) {
				cancel(disconnectReason);
			}
		});
		this.#context.requests.begin({
			requestId, workspace: workspace.name, service: service.name, priority, arrivedAt, cancel,
		});
		await this.#serve(job, {workspace, completion}, response);
	}

	async #serve(job: CompletionJob, {workspace, completion}: {workspace: WorkspaceItem; completion: CompletionRequest}, response: ServerResponse): Promise<void> {
		const {requestId, service, priority, promptTokens, deadline} = job.route;
		const {timeline, clock} = this.#context;
		const common = {requestId, workspace: workspace.name};
		timeline.record({kind: 'request-arrived', at: job.arrivedAt, ...common});
		const writer = new CompletionWriter(response, completion, {requestId, createdSeconds: Math.floor(job.arrivedAt / 1000)});
		const entered = await this.#dependencies.gate.enter({
			requestId, workspace: workspace.name, share: workspace.share, service, priority, promptTokens, deadline,
		});
		if (entered.isLeft()) {
			this.#refuse(writer, entered.extract(), common);
			return;
		}

		this.#context.requests.admit(requestId);
		timeline.record({kind: 'request-admitted', at: clock.now(), ...common});
		const result = await this.#dependencies.runner.run(job, writer);
		this.#dependencies.gate.leave(requestId);
		if ('reason' in result) {
			this.#refuse(writer, result, common);
			return;
		}

		this.#finish(writer, result, job);
	}

	#finish(writer: CompletionWriter, usage: CompletionUsage, job: CompletionJob): void {
		const {requestId, workspace, service} = job.route;
		const {timeline, clock, metrics} = this.#context;
		writer.finish(usage);
		timeline.record({
			kind: 'request-finished', at: clock.now(), requestId, workspace,
		});
		metrics.report('request.whole_time', clock.now() - job.arrivedAt, {priority: job.route.priority, service});
		metrics.report('request.prompt_tokens', usage.promptTokens, {service});
		metrics.report('request.recomputed_tokens', usage.promptTokens - usage.cachedTokens, {service});
	}

	#refuse(writer: CompletionWriter, refusal: Refusal, common: {requestId: string; workspace: string}): void {
		const {timeline, clock, metrics} = this.#context;
		writer.fail(refusal);
		timeline.record({
			kind: refusal.reason === 'cancelled' ? 'request-cancelled' : 'request-refused', at: clock.now(), ...common, detail: `${refusal.reason} ${refusal.ran}`,
		});
		metrics.report('request.refused', 1, {reason: refusal.reason, ran: refusal.ran});
	}

	#jobOf(parsed: ParsedCompletion, exchange: ArrivedExchange): CompletionJob {
		const {workspace, completion, service} = parsed;
		const {request, arrivedAt, signal} = exchange;
		const rule = requestRule(this.#context.configuration.state, {
			workspace,
			service: service.name,
			priority: headerOf(request, 'x-priority'),
			deadlineMilliseconds: headerOf(request, 'x-deadline-milliseconds'),
		});
		const prompt = promptTextOf(completion.body);
		return {
			request: completion,
			prompt,
			arrivedAt,
			signal,
			hasCallerDisconnected: async () => hasCallerDisconnected(request, 0),
			dataCentres: rule.dataCentres,
			route: {
				requestId: this.#context.newRequestId(),
				workspace: workspace.name,
				service: service.name,
				weightVersion: service.weightVersion,
				priority: rule.priority,
				promptTokens: Math.ceil(prompt.length / charactersPerToken),
				deadline: arrivedAt + rule.deadlineMilliseconds,
			},
		};
	}

	async #queryCall(exchange: NodeExchange): Promise<void> {
		const workspace = this.#workspaceOf(exchange.request);
		await workspace.caseOf({
			async Left(refusal) {
				sendRefusal(exchange.response, refusal);
			},
			Right: async found => new CallsRoute(this.#context).answerQuery(found, exchange),
		});
	}

	async #callService(exchange: NodeExchange): Promise<void> {
		const {response} = exchange;
		const workspace = this.#enter(exchange);
		if (workspace.isLeft()) {
			sendRefusal(response, workspace.extract());
			return;
		}

		await this.#dependencies.plainRoute.call(workspace.extract() as WorkspaceItem, exchange);
	}

	/** Authenticates the caller and counts its request as open, before any of the body is read. */
	#enter({request, response}: NodeExchange): Either<Refusal, WorkspaceItem> {
		const {limits} = this.#context.configuration.state;
		return this.#workspaceOf(request).chain(workspace => this.#open.acquire(workspace.name, limits).map(release => {
			const {metrics} = this.#context;
			metrics.report('request.open', this.#open.total);
			response.once('close', () => {
				release();
				metrics.report('request.open', this.#open.total);
			});
			return workspace;
		}));
	}

	#workspaceOf(request: IncomingMessage): Either<Refusal, WorkspaceItem> {
		if (this.#context.draining) {
			return Left({
				reason: 'draining', ran: 'not-run', message: 'this instance is leaving', retryAfterMilliseconds: 1000,
			});
		}

		if (!this.#context.configuration.startGate.isOpen) {
			return Left({
				reason: 'stale-configuration', ran: 'not-run', message: 'this instance has just started and does not have the newest configuration yet', retryAfterMilliseconds: 1000,
			});
		}

		return authenticate(this.#context.configuration.state, request.headers.authorization);
	}

	#modelServiceOf(workspace: WorkspaceItem, model: string): Either<Refusal, ModelServiceItem> {
		const {services} = this.#context.configuration.state;
		const service = workspace.services
			.map(name => services.get(name))
			.find((item): item is ModelServiceItem => item?.kind === 'model' && item.model === model);
		if (service === undefined) {
			return Left({reason: 'not-found', ran: 'not-run', message: `there is no model "${model}" for this workspace`});
		}

		return service.paused
			? Left({
				reason: 'paused', ran: 'not-run', message: `"${model}" is paused`, retryAfterMilliseconds: 30_000,
			})
			: Right(service);
	}
}

/** Converts an error of h3 itself, such as a path that cannot be decoded, to a refusal in the usual format. */
function typedErrorResponse({status}: HTTPError): Response {
	const refusal: Refusal = status < 500
		? {reason: 'bad-request', ran: 'not-run', message: 'the request line is invalid'}
		: {reason: 'internal', ran: 'unknown', message: 'the request could not be served'};
	return Response.json(refusalBody(refusal), {status});
}

function headerOf(request: IncomingMessage, name: string): string | undefined {
	const value = request.headers[name];
	return Array.isArray(value) ? value[0] : value;
}
