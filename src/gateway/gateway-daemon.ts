/**
 * One gateway process: the followers of the store's tables, the listener for callers, the readiness check and the metrics.
 *
 * A shutdown loses no requests. First the gateway reports that it is not ready and goes on serving, since the load balancer
 * sends new connections until two of its checks have failed. Next it accepts no new connections and finishes the requests in
 * flight, taking only new ones that end before it does. It exits when all are finished, or shortly before the platform would kill it;
 * the others are answered as at their deadline then.
 */
import process from 'node:process';
import {type Either} from 'purify-ts/Either';
import {connectionCapacityOf} from '../decision/arrivals/connection-capacity.js';
import {HttpListener, defaultListenerBounds} from '../serving/http-listener.js';
import {BlockPlanner} from '../decision/blocks/plan-blocks.js';
import {ConnectionPreference} from '../decision/connections/connection-preference.js';
import {burstRetryMilliseconds, CostPlacement} from '../decision/placement/cost-placement.js';
import {EndpointRests} from '../decision/limits/endpoint-rests.js';
import {WorkspaceAndRouteUrgency, WorkspaceUrgency} from '../decision/urgency/urgency.js';
import {memoryLimitsOf} from '../decision/memory/memory-limits.js';
import {SharedRetryBudget} from '../decision/limits/shared-retry-budget.js';
import {type CacheStoreControl} from '../ports/cache-store-control.js';
import {type ClockedTable} from '../ports/clocked-table.js';
import {type EngineControl} from '../ports/engine-control.js';
import {type MomentClock} from '../ports/moment-clock.js';
import {type TableFeed} from '../ports/table-feed.js';
import {type TableService} from '../ports/table-service.js';
import {formatFinding} from '../shared/format-finding.js';
import {type Finding} from '../shared/types.js';
import {Supervisor} from '../supervisor/supervisor.js';
import {EventLoopLag} from '../serving/event-loop-lag.js';
import {ConfigurationView} from './configuration/configuration-view.js';
import {createCrashes, type CreatedCrashes} from './crashes/create-crashes.js';
import {HttpEndpointExchanges} from './data-path/endpoint-exchange.js';
import {GatewayRequestHandler} from './data-path/gateway-request-handler.js';
import {createCallerConnections} from './data-path/create-caller-connections.js';
import {createHeldMemory} from './data-path/create-held-memory.js';
import {createRefuse} from './data-path/refuse.js';
import {type WireNames} from './data-path/wire-names.js';
import {EndpointPaths} from './endpoints/endpoint-paths.js';
import {EndpointProber} from './endpoints/endpoint-prober.js';
import {EndpointRegistry} from './endpoints/endpoint-registry.js';
import {EndpointWatches} from './endpoints/endpoint-watches.js';
import {type GatewayContext} from './gateway-context.js';
import {configuredEndpoints} from './endpoints/configured-endpoints.js';
import {Evacuations} from './endpoints/evacuations.js';
import {type GatewaySettings, timingsOf} from './gateway-settings.js';
import {createMetricsApp, createReadyApp} from './health-apps.js';
import {applyPeerPaces} from './coordinator/apply-peer-paces.js';
import {type CoordinatorContext} from './coordinator/coordinator.js';
import {packLoads, type PackedLoad} from './coordinator/coordinator-messages.js';
import {CoordinatorPair} from './coordinator/coordinator-pair.js';
import {CoordinatorView} from './coordinator/coordinator-view.js';
import {DecisionLog} from './observability/decision-log.js';
import {BrittleServices} from './limits/brittle-services.js';
import {HeldSlots} from './limits/held-slots.js';
import {EndpointLimits} from './limits/endpoint-limits.js';
import {type GatewayMetrics} from './observability/gateway-metrics.js';
import {WarmUpLimits} from './limits/warm-up-limits.js';
import {reportLag} from './observability/report-lag.js';
import {Relays} from './relay/relays.js';
import {CoordinatorShares} from './shares/coordinator-shares.js';
import {ShareOfWorkspaces} from './shares/share-of-workspaces.js';
import {WorkspaceShares} from './shares/workspace-shares.js';
import {createStreamOrigins, type CreatedStreamOrigins} from './streams/create-stream-origins.js';
import {WaitingRequests} from './waiting/waiting-requests.js';
import {UsedVersionsRow} from './streams/used-versions-row.js';
import {FeedHandlers} from './watchers/feed-handlers.js';
import {type StoreSchema} from './watchers/store-schema.js';
import {TableFeeds} from './watchers/table-feeds.js';
import {LoadingEngines} from './watchers/loading-engines.js';
import {WeightRollout} from './weights/weight-rollout.js';
import {WeightTargets} from './weights/weight-targets.js';

/** The adapters to the outside, which implement the deployment's protocols. */
export type GatewayPorts = {
	clock: MomentClock;
	names: WireNames;
	storeSchema: StoreSchema;
	store: TableService & TableFeed & ClockedTable;
	control: EngineControl;
	storeControl: CacheStoreControl;
	metrics: GatewayMetrics;
	/** Returns a random number from 0 up to 1. */
	random: () => number;
};

/** The parts of workspace shares, as an instance and as the coordinator. */
type Shares = {own: WorkspaceShares; coordinator: CoordinatorShares};

const intensity = {restarts: 20, periodMilliseconds: 60_000};
/** The load balancer checks once a second and stops using an instance after two failed checks. */
const unreadyMilliseconds = 2300;
/** Part of the grace period that is reserved for the exit of the process itself. */
const exitMarginMilliseconds = 400;
/** Part of the grace period in which the requests are answered that were not finished before. */
const lastAnswersMilliseconds = 250;
/** Maximum number of endpoints in a periodic query: all of a small deployment; of a large one, those of plain services. */
const maxWatchedEndpoints = 24;
/** More than any deployment's own limit on headers, which is checked after parsing. */
const parserHeaderBytes = 65_536;

export class GatewayDaemon {
	readonly #settings: GatewaySettings;
	readonly #context: GatewayContext;
	readonly #placement: CostPlacement;
	readonly #front: GatewayRequestHandler;
	readonly #callers: HttpListener;
	readonly #ready: HttpListener;
	readonly #metricsListener: HttpListener;
	readonly #coordinators: CoordinatorPair;
	readonly #crashes: CreatedCrashes;
	readonly #relays: Relays;
	readonly #streams: CreatedStreamOrigins;
	readonly #usedVersions: UsedVersionsRow;
	readonly #endpointWatches: EndpointWatches;
	readonly #brittle: BrittleServices;
	readonly #heldSlots = new HeldSlots();
	readonly #feeds: TableFeeds;
	readonly #root: Supervisor;
	readonly #eventLoopLag: EventLoopLag;
	readonly #exchanges = new HttpEndpointExchanges(() => ({instance: this.#settings.instance, instances: this.#coordinators.instances}));
	readonly #stop = new AbortController();
	#isStopping = false;
	#limitsVersion = 0;
	#graceMilliseconds: number;

	constructor(settings: GatewaySettings, ports: GatewayPorts) {
		this.#settings = settings;
		this.#graceMilliseconds = settings.bounds.graceMilliseconds;
		const {clock, metrics} = ports;
		const timings = timingsOf(settings.bounds);
		const coordinatorView = new CoordinatorView();
		const connections = settings.idleConnections === 'ignored'
			? undefined
			: new ConnectionPreference(this.#exchanges.connections, service => shared.configuration.current?.services.get(service)?.connectionLimit ?? 0);
		this.#placement = new CostPlacement(settings.dataCentre, endpoint => coordinatorView.peerLoadAt(endpoint, clock.moment()), connections, settings.waiting === 'none' ? undefined : burstRetryMilliseconds);
		const log = new DecisionLog(process.stdout, {instance: settings.instance}, () => clock.moment().wall);
		this.#eventLoopLag = new EventLoopLag(() => clock.moment().steady, (lagMilliseconds, processorMilliseconds) => {
			reportLag({log, metrics}, lagMilliseconds, processorMilliseconds);
		});
		const shared = {
			dataCentre: settings.dataCentre,
			regions: settings.regions,
			clock,
			log,
			configuration: new ConfigurationView({freshMilliseconds: timings.freshMilliseconds, leaseMilliseconds: timings.keyLeaseMilliseconds}),
			endpoints: new EndpointRegistry(settings.bounds.heartbeatMilliseconds),
			evacuations: new Evacuations({log, metrics}),
		};
		this.#relays = new Relays({
			...shared,
			...ports,
			address: settings.listenRelay,
			lagMilliseconds: () => this.#eventLoopLag.current,
			isCoordinator: () => this.#coordinators.isCoordinator,
			isStopping: () => this.#isStopping,
			withoutDirectPath: () => paths.withoutDirectPath,
			hasDirectPath: endpoint => paths.hasDirectPath(endpoint),
			onUnreachable(endpoint) {
				paths.noteNotConnected(endpoint);
			},
		});
		this.#streams = createStreamOrigins({
			...shared,
			store: ports.store,
			instance: settings.instance,
			hasSeveralVersions: service => shared.endpoints.hasSeveralVersions(service),
			address: settings.listenStreams,
			key: () => this.#relays.key.current,
			soleVersion: service => shared.endpoints.soleVersionAt(service, clock.moment()),
			isStopping: () => this.#isStopping,
		});
		this.#usedVersions = new UsedVersionsRow({...shared, ...ports, isCoordinator: () => this.#coordinators.isCoordinator});
		const paths = new EndpointPaths({
			...shared, placement: this.#placement, relays: this.#relays.client, metrics,
		});
		const shareOfWorkspaces = new ShareOfWorkspaces();
		const shares = settings.waiting === 'none'
			? undefined
			: {
				own: new WorkspaceShares({clock, metrics, isConfigured: () => shareOfWorkspaces.isConfigured(shared.configuration.current?.grants)}),
				coordinator: new CoordinatorShares({...shared, metrics}),
			};
		this.#coordinators = this.#createCoordinators({...shared, metrics}, coordinatorView, ports, shares);
		this.#crashes = createCrashes({
			...shared,
			...ports,
			instance: settings.instance,
			isCoordinator: () => this.#coordinators.isCoordinator,
			hasCoordinator: () => this.#coordinators.hasCoordinator,
			passOn: () => {
				this.#coordinators.peerUpdates.report();
			},
			instances: () => this.#coordinators.instances,
			probe: async endpoint => paths.reach(endpoint),
			hasOpenConnection: endpoint => this.#exchanges.hasOpenConnection(endpoint.address),
		});
		this.#brittle = new BrittleServices({
			...shared,
			instance: settings.instance,
			metrics,
			slots: this.#coordinators.peerUpdates,
			held: this.#heldSlots,
			requestsAt: endpoint => this.#placement.ownLoads(clock.moment().steady).get(endpoint.name)?.requests ?? 0,
		});
		this.#endpointWatches = new EndpointWatches({
			...shared,
			instances: () => this.#coordinators.instances,
			hasDirectPath: endpoint => paths.hasDirectPath(endpoint),
		});
		this.#context = {
			...shared,
			endpointVersions: this.#endpointWatches,
			paths,
			relays: this.#relays.client,
			names: ports.names,
			placement: this.#placement,
			coordinatorView,
			peerUpdates: this.#coordinators.peerUpdates,
			blockPlanner: new BlockPlanner(),
			memory: settings.memoryBytes === undefined ? undefined : createHeldMemory({...shared, metrics}, memoryLimitsOf(settings.memoryBytes)),
			eventLoopLag: this.#eventLoopLag,
			crashes: this.#crashes.crashes,
			streamOrigins: this.#streams.streamOrigins,
			limits: new EndpointLimits({...shared, metrics, permits: this.#coordinators.peerUpdates}),
			brittle: this.#brittle,
			rests: new EndpointRests(),
			warmUps: new WarmUpLimits({
				...shared,
				metrics,
				permits: this.#coordinators.peerUpdates,
				warmUpOf: service => shared.configuration.current?.services.get(service)?.warmUp,
				bound: {ratio: settings.bounds.warmUpRatio, extra: settings.bounds.warmUpExtra},
			}),
			retryBudget: new SharedRetryBudget({ratio: settings.bounds.retryRatio, windowMilliseconds: settings.bounds.retryWindowMilliseconds}),
			exchanges: this.#exchanges,
			weightTargets: new WeightTargets(settings.bounds.weightsMilliseconds),
			loadingEngines: new LoadingEngines(() => clock.moment().steady),
			metrics,
			...(shares === undefined ? {} : {shares: shares.own}),
			...(settings.waiting === 'none' ? {} : {waiting: new WaitingRequests({clock, metrics, scope: settings.waiting})}),
			urgency: settings.urgency === 'workspace' ? new WorkspaceUrgency() : new WorkspaceAndRouteUrgency(),
			refuse: createRefuse(metrics),
		};
		this.#front = new GatewayRequestHandler(this.#context);
		this.#callers = new HttpListener('callers', async (request, response) => {
			this.#applyLimits();
			await this.#front.serve(request, response);
		}, settings.listenCallers, {
			...defaultListenerBounds,
			maxHeaderBytes: parserHeaderBytes,
			connections: createCallerConnections(this.#context, connectionCapacityOf(settings.maxDescriptors)),
		});
		this.#ready = new HttpListener('ready', createReadyApp(settings.readyPath, () => this.#isReady()), settings.listenReady);
		this.#metricsListener = new HttpListener('metrics', createMetricsApp(metrics.registry), settings.listenMetrics);
		const feedDependencies = {...ports, isReader: () => this.#coordinators.isReader, isStandby: () => this.#coordinators.isStandby};
		this.#feeds = new TableFeeds(this.#context, feedDependencies, timings, new FeedHandlers([this.#crashes.handler, this.#relays.key, this.#usedVersions]));
		this.#root = this.#createSupervisor(ports);
	}

	/** Opens the listeners, and runs until the daemon is stopped. */
	async run(): Promise<void> {
		this.#eventLoopLag.start();
		await Promise.all([this.#callers.listen(), this.#ready.listen(), this.#metricsListener.listen()]);
		this.#context.log.record('started', {
			dataCentre: this.#settings.dataCentre, callers: this.#settings.listenCallers, store: this.#settings.storeAddress, process: process.pid,
		});
		await this.#root.run(this.#stop.signal);
	}

	/**
	 * Applies changed settings: only the grace period, since all other settings are fixed for the life of a process. If the new
	 * settings are not valid, the process keeps the present ones.
	 */
	reload(read: Either<Finding[], GatewaySettings>): void {
		read.caseOf({
			Left: findings => {
				this.#context.log.record('reloaded', {isTaken: false, findings: findings.map(finding => formatFinding(finding))});
			},
			Right: settings => {
				this.#graceMilliseconds = settings.bounds.graceMilliseconds;
				this.#context.log.record('reloaded', {isTaken: true, graceMilliseconds: this.#graceMilliseconds});
			},
		});
	}

	/** Shuts down: goes on serving until the load balancer has noticed, finishes the requests in flight, and ends the daemon. */
	async stop(): Promise<void> {
		if (this.#isStopping) {
			return;
		}

		this.#isStopping = true;
		const {clock, log} = this.#context;
		const startedAt = clock.moment().steady;
		log.record('stopping', {openRequests: this.#front.open});
		this.#callers.announceClose();
		this.#context.waiting?.stop();
		void this.#coordinators.resign();
		await clock.sleep(unreadyMilliseconds, this.#stop.signal);
		const answersEndAt = startedAt + this.#graceMilliseconds - exitMarginMilliseconds - lastAnswersMilliseconds;
		this.#front.endAt(answersEndAt);
		const drained = Promise.all([this.#callers.drain(), this.#relays.idle()]);
		await Promise.race([drained, clock.sleep(Math.max(0, answersEndAt - clock.moment().steady), this.#stop.signal)]);
		this.#front.expireAll();
		await Promise.race([drained, clock.sleep(lastAnswersMilliseconds, this.#stop.signal)]);
		this.#stop.abort();
		this.#eventLoopLag.stop();
		this.#exchanges.close();
		// These two are not awaited: the load balancer and the metrics scraper can send their next requests to other instances.
		void this.#ready.drain();
		void this.#metricsListener.drain();
		log.record('stopped', {openRequests: this.#front.open, milliseconds: Math.round(clock.moment().steady - startedAt)});
	}

	#createCoordinators(shared: CoordinatorContext, view: CoordinatorView, {store, storeControl, clock}: GatewayPorts, shares: Shares | undefined): CoordinatorPair {
		const {instance, cores, listenPeers, listenStandby} = this.#settings;
		return new CoordinatorPair(shared, {
			store,
			control: storeControl,
			view,
			addresses: {hub: listenPeers, 'hub-deputy': listenStandby},
			reportWriter: {
				adopt: reports => {
					this.#crashes.coordinator.adopt(reports);
				},
				isUnwritten: key => this.#crashes.coordinator.isUnwritten(key),
			},
			follower: {
				instance,
				cores,
				shares: shares?.own,
				loads: () => this.#reportedLoads(clock.moment().steady),
				holdSlot: endpoint => {
					this.#heldSlots.hold(endpoint, clock.moment().steady);
				},
				...this.#relays.follower,
				...this.#streams.follower,
				unconfirmedCrashes: () => this.#crashes.follower.unconfirmedCrashes(),
				applyCrashes: reports => {
					this.#crashes.follower.applyCrashes(reports);
				},
				pacesAfter: position => this.#placement.pacesAfter(position, clock.moment().steady),
				applyPaces: (paces, now) => {
					applyPeerPaces(paces, now, {...shared, placement: this.#placement});
				},
				brittle: () => this.#brittle.reports(),
				applyBrittle: reports => {
					this.#brittle.apply(reports);
				},
				watchedEndpoints: () => this.#watchedEndpoints(),
				cursors: () => this.#feeds.cursors(),
				applyTableUpdates: (updates, queriedAt) => {
					this.#feeds.applyUpdates(updates, queriedAt);
					this.#context.waiting?.noteView();
				},
			},
			shares: shares?.coordinator,
			tableUpdates: cursors => this.#feeds.updatesFor(cursors),
		});
	}

	#reportedLoads(now: number): Record<string, PackedLoad> {
		return packLoads(this.#heldSlots.addTo(this.#placement.ownLoads(now), now));
	}

	/** The endpoints of plain calls: these are placed by what the periodic queries return, without a query for each call. */
	#watchedEndpoints(): string[] {
		const {endpoints, configuration} = this.#context;
		const services = configuration.current?.services;
		const ready = configuredEndpoints(configuration.current, endpoints.all()).filter(({state}) => state === 'ready');
		const watched = ready.length <= maxWatchedEndpoints ? ready : ready.filter(({service}) => services?.get(service)?.engine === undefined);
		return watched.slice(0, maxWatchedEndpoints).map(({name}) => name);
	}

	#createSupervisor(ports: GatewayPorts): Supervisor {
		const {store, clock, control} = ports;
		const {log, weightTargets} = this.#context;
		const {instance, bounds: {leaseMilliseconds, weightsMilliseconds}} = this.#settings;
		return new Supervisor({
			name: 'gateway',
			strategy: 'one-for-one',
			intensity,
			now: () => clock.moment().steady,
			report(event) {
				log.record('fault', {child: event.child, event: event.kind, error: String(event.error)});
			},
			children: [
				...this.#feeds.followers,
				new WeightRollout(this.#context, {
					instance,
					leaseMilliseconds,
					switchoverMilliseconds: weightsMilliseconds,
					store,
					control,
					targets: weightTargets,
					isCoordinator: () => this.#coordinators.isCoordinator,
					instances: () => this.#coordinators.instances,
				}),
				new EndpointProber(this.#context),
				this.#endpointWatches,
				...this.#relays.children,
				...this.#streams.children,
				this.#usedVersions,
				...this.#coordinators.children(),
				this.#crashes.publisher,
				this.#callers,
				this.#ready,
				this.#metricsListener,
			],
		});
	}

	/** Applies the timeouts of a new configuration to the callers' listener. */
	#applyLimits(): void {
		const {current} = this.#context.configuration;
		if (current !== undefined && current.version !== this.#limitsVersion) {
			this.#limitsVersion = current.version;
			const {headerTimeoutMilliseconds: headerMilliseconds, idleTimeoutMilliseconds: idleMilliseconds} = current.limits;
			this.#callers.applyLimits({headersTimeoutMilliseconds: headerMilliseconds, idleTimeoutMilliseconds: idleMilliseconds});
		}
	}

	/** Ready means: the configuration is valid, an endpoint is known, and no shutdown has begun. */
	#isReady(): boolean {
		const {configuration, endpoints, clock} = this.#context;
		const validity = configuration.validityAt(clock.moment());
		return !this.#isStopping && (validity === 'fresh' || validity === 'ageing') && configuredEndpoints(configuration.current, endpoints.all()).length > 0;
	}
}
