/** Runs a gateway's data path within the test process, with endpoints whose behaviour the test defines. */
import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {WorkspaceUrgency} from '../../decision/urgency/urgency.js';
import {systemMomentClock} from '../../adapters/system-moment-clock.js';
import {BlockPlanner} from '../../decision/blocks/plan-blocks.js';
import {CostPlacement} from '../../decision/placement/cost-placement.js';
import {EndpointRests} from '../../decision/limits/endpoint-rests.js';
import {SharedRetryBudget} from '../../decision/limits/shared-retry-budget.js';
import {HttpListener} from '../../serving/http-listener.js';
import {ConfigurationView} from '../configuration/configuration-view.js';
import {type MomentClock} from '../../ports/moment-clock.js';
import {CrashLedger} from '../crashes/crash-ledger.js';
import {keyOfReport} from '../crashes/crash-report-rows.js';
import {EndpointCrashes} from '../crashes/endpoint-crashes.js';
import {HttpEndpointExchanges} from '../data-path/endpoint-exchange.js';
import {GatewayRequestHandler} from '../data-path/gateway-request-handler.js';
import {createRefuse} from '../data-path/refuse.js';
import {ownWireNames} from '../data-path/wire-names.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {EndpointPaths} from '../endpoints/endpoint-paths.js';
import {EndpointRegistry} from '../endpoints/endpoint-registry.js';
import {Evacuations} from '../endpoints/evacuations.js';
import {type GatewayContext} from '../gateway-context.js';
import {CoordinatorView} from '../coordinator/coordinator-view.js';
import {PermitGrants} from '../coordinator/permit-grants.js';
import {BrittleServices} from '../limits/brittle-services.js';
import {HeldSlots} from '../limits/held-slots.js';
import {EndpointLimits} from '../limits/endpoint-limits.js';
import {WarmUpLimits} from '../limits/warm-up-limits.js';
import {DecisionLog} from '../observability/decision-log.js';
import {GatewayMetrics} from '../observability/gateway-metrics.js';
import {reportLag} from '../observability/report-lag.js';
import {RelayClient} from '../relay/relay-client.js';
import {RelayDirectory} from '../relay/relay-directory.js';
import {type StreamOrigins} from '../streams/stream-origins.js';
import {LoadingEngines} from '../watchers/loading-engines.js';
import {WeightTargets} from '../weights/weight-targets.js';
import {EventLoopLag} from '../../serving/event-loop-lag.js';
import {LocalStreamOrigins} from './local-stream-origins.js';
import {testConfiguration} from './test-configuration.js';
import {testEndpoint} from './test-endpoint.js';

/** What an endpoint of a test does with a request. It may leave the request unanswered. */
export type EndpointBehaviour = (request: IncomingMessage, response: ServerResponse) => void | Promise<void>;

/** The key of the relays of tests. */
export const testRelayKey = 'key';

export class TestGateway {
	readonly context: GatewayContext;
	readonly lines: Array<Record<string, unknown>> = [];
	address = '';
	readonly relayDirectory = new RelayDirectory();
	readonly #listener: HttpListener;
	readonly #exchanges = new HttpEndpointExchanges();
	readonly #endpoints: Array<{name: string; close(): void}> = [];
	readonly #stop = new AbortController();
	readonly #eventLoopLag: EventLoopLag;
	#isDrained = false;

	/**
	 * @param crashLedger - Shared by gateways of a test that know of each other's crashes at once.
	 * @param streamOrigins - Shared by gateways of a test that know where each other's streams began.
	 * @param clock - Replaced where the speed of the machine must not matter.
	 */
	constructor(configuration = testConfiguration(), crashLedger = new CrashLedger(), streamOrigins: StreamOrigins = new LocalStreamOrigins(), clock: MomentClock = systemMomentClock) {
		const metrics = new GatewayMetrics();
		const view = new ConfigurationView({freshMilliseconds: 60_000, leaseMilliseconds: 120_000});
		view.offer(configuration);
		view.confirm(clock.moment());
		const output = {
			writableLength: 0,
			write: (line: string) => this.lines.push(JSON.parse(line) as Record<string, unknown>) > 0,
		};
		const log = new DecisionLog(output, {}, Date.now);
		this.#eventLoopLag = new EventLoopLag(() => clock.moment().steady, (lagMilliseconds, processorMilliseconds) => {
			reportLag({log, metrics}, lagMilliseconds, processorMilliseconds);
		});
		const endpoints = new EndpointRegistry();
		const permits = new PermitGrants();
		const placement = new CostPlacement('split');
		const relays = new RelayClient({
			clock, directory: this.relayDirectory, key: () => testRelayKey, random: () => 0,
		});
		const paths = new EndpointPaths({
			clock, placement, endpoints, configuration: view, relays, log, metrics,
		});
		this.context = {
			dataCentre: 'split',
			regions: {own: 'dalmatia', byDataCentre: new Map([['split', 'dalmatia'], ['zadar', 'dalmatia'], ['trieste', 'friuli']])},
			clock,
			names: ownWireNames,
			configuration: view,
			endpoints,
			endpointVersions: {isCertain: () => true},
			evacuations: new Evacuations({log, metrics}),
			paths,
			relays,
			placement,
			crashes: new EndpointCrashes({
				instance: 'test',
				clock,
				log,
				metrics,
				endpoints,
				ledger: crashLedger,
				random: () => 0,
				probe: async endpoint => paths.reach(endpoint),
				hasOpenConnection: endpoint => this.#exchanges.hasOpenConnection(endpoint.address),
				publish(report) {
					crashLedger.put(keyOfReport(report), report);
				},
				async claim(key, report) {
					if (crashLedger.reports().has(key)) {
						return false;
					}

					crashLedger.put(key, report);
					return true;
				},
			}),
			streamOrigins,
			limits: new EndpointLimits({
				clock, log, metrics, permits: {takePermit: async query => permits.answer(query, clock.moment().steady)},
			}),
			brittle: new BrittleServices({
				instance: 'test',
				clock,
				log,
				metrics,
				requestsAt: () => 0,
				held: new HeldSlots(),
				slots: {
					takeSlot: async () => 'granted',
					report() {
						// It has no other instances to publish to.
					},
					instances: 1,
				},
			}),
			rests: new EndpointRests(),
			warmUps: new WarmUpLimits({
				clock,
				log,
				metrics,
				permits: {takePermit: async query => permits.answer(query, clock.moment().steady)},
				warmUpOf: service => view.current?.services.get(service)?.warmUp,
				bound: {ratio: 1.5, extra: 5},
			}),
			retryBudget: new SharedRetryBudget({ratio: 1, windowMilliseconds: 10_000}),
			exchanges: this.#exchanges,
			weightTargets: new WeightTargets(10_000),
			coordinatorView: new CoordinatorView(),
			peerUpdates: {
				async refresh() {
					// A single instance has no other instances to query.
				},
				report() {
					// It has no other instances to publish to.
				},
			},
			blockPlanner: new BlockPlanner(),
			loadingEngines: new LoadingEngines(() => clock.moment().steady),
			eventLoopLag: this.#eventLoopLag,
			log,
			metrics,
			urgency: new WorkspaceUrgency(),
			refuse: createRefuse(metrics),
		};
		const front = new GatewayRequestHandler(this.context);
		this.#listener = new HttpListener('callers', async (request, response) => front.serve(request, response), '127.0.0.1:0');
	}

	/** Starts to listen. */
	async start(): Promise<this> {
		this.#eventLoopLag.start();
		this.address = await this.#listener.listen();
		return this;
	}

	/** Adds an endpoint with the given behaviour. Endpoints are chosen in the order of addition if their `slots` decrease. */
	async addEndpoint(behaviour: EndpointBehaviour, changes: Partial<EndpointRecord> = {}): Promise<EndpointRecord> {
		const name = changes.name ?? `desk-${this.#endpoints.length + 1}`;
		const server = createServer((request, response) => {
			void behaviour(request, response);
		});
		const sockets = new Set<Socket>();
		server.on('connection', socket => {
			sockets.add(socket);
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const close = (): void => {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		};

		this.#endpoints.push({name, close});
		const record = testEndpoint({name, address: `127.0.0.1:${(server.address() as AddressInfo).port}`, ...changes});
		this.context.endpoints.put(record, 0);
		return record;
	}

	/** Ends the process of an endpoint: its listener and all its connections. */
	endEndpoint(name: string): void {
		this.#endpoints.find(endpoint => endpoint.name === name)?.close();
	}

	/** Accepts no more connections, and finishes the requests in flight; endpoints serve on. */
	async drain(): Promise<void> {
		this.#isDrained = true;
		await this.#listener.drain();
	}

	async close(): Promise<void> {
		this.#stop.abort();
		this.#eventLoopLag.stop();
		for (const endpoint of this.#endpoints) {
			endpoint.close();
		}

		this.#exchanges.close();
		if (!this.#isDrained) {
			await this.#listener.drain();
		}
	}
}

/** An answer of a test's endpoint; by default a 200 without a body. */
export type TestAnswer = {status?: number; headers?: Record<string, string>; body?: string};

/** Answers as a healthy endpoint does: with the attempt's id and a seal. */
export function answerSealed(request: IncomingMessage, response: ServerResponse, answer: TestAnswer = {}): void {
	const {status = 200, headers = {}, body = ''} = answer;
	response.writeHead(status, {...sealedHeaders(request), 'content-length': String(body.length), ...headers});
	response.end(body);
}

/** The headers that show which attempt an answer belongs to. */
export function sealedHeaders(request: IncomingMessage): Record<string, string> {
	return {[ownWireNames.attemptId]: String(request.headers[ownWireNames.attemptId]), [ownWireNames.seal]: 'seal'};
}
