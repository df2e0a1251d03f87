/**
 * The entry process: creates its components and runs them in a supervisor tree, with the watchers in one branch and the
 * data path in the other. When it is stopped, it refuses new requests and ends after the requests in flight have finished.
 */
import {randomUUID} from 'node:crypto';
import {HttpCacheStore} from '../adapters/http-cache-store.js';
import {HttpInstanceList} from '../adapters/http-instance-list.js';
import {HttpModelEngine} from '../adapters/http-model-engine.js';
import {HttpPlainService} from '../adapters/http-plain-service.js';
import {HttpTableService} from '../adapters/http-table-service.js';
import {systemClock} from '../adapters/system-clock.js';
import {connectionCapacityOf} from '../decision/arrivals/connection-capacity.js';
import {memoryLimitsOf} from '../decision/memory/memory-limits.js';
import {FairShareAdmission} from '../decision/admission/fair-share-admission.js';
import {CachedPrefixes} from '../decision/cache/cached-prefixes.js';
import {ExpectedFirstTokenPolicy} from '../decision/routing/expected-first-token-policy.js';
import {type LinkEstimate} from '../decision/routing/link-estimate.js';
import {createLogger} from '../observability/logger.js';
import {StatsdMetrics} from '../observability/metrics.js';
import {TimelineSender} from '../observability/timeline-sender.js';
import {Supervisor} from '../supervisor/supervisor.js';
import {CallerConnections} from '../serving/caller-connections.js';
import {EventLoopLag} from '../serving/event-loop-lag.js';
import {HeldMemory} from '../serving/held-memory.js';
import {defaultListenerBounds, HttpListener} from '../serving/http-listener.js';
import {CapacityUpdater} from './capacity-updater.js';
import {AdmissionGate} from './callers/admission-gate.js';
import {CallerLimitReports} from './callers/caller-limit-reports.js';
import {CallerRoutes} from './callers/caller-routes.js';
import {CompletionRunner} from './callers/completion-runner.js';
import {FirstTokenNotifier} from './callers/first-token-notifier.js';
import {AtMostOnceRunner} from './callers/at-most-once-runner.js';
import {PlainRoute} from './callers/plain-route.js';
import {ConfigurationHolder} from './configuration-holder.js';
import {EndpointDirectory} from './endpoint-directory.js';
import {type EntryContext} from './entry-context.js';
import {type EntrySettings} from './entry-settings.js';
import {createOperatorRoutes} from './operators/operator-routes.js';
import {CacheEventReader, blockTokens} from './cache/cache-event-reader.js';
import {StoreCachedContext} from './cache/cached-context.js';
import {BlockSaver} from './cache/block-saver.js';
import {EntryPeers} from './peers/entry-peers.js';
import {RequestRegistry} from './request-registry.js';
import {CacheEventWatcher} from './watchers/cache-event-watcher.js';
import {ConfigurationWatcher} from './watchers/configuration-watcher.js';
import {InstanceWatcher} from './watchers/instance-watcher.js';
import {LoadWatcher} from './watchers/load-watcher.js';

const bytesPerMegabyte = 1_048_576;
const restartIntensity = {restarts: 10, periodMilliseconds: 60_000};

/** The addresses at which a running entry listens. */
export type EntryAddresses = {
	callers: string;
	operators: string;
	peers: string;
};

/** A lag of the event loop from this length on is logged. */
const minLoggedLagMilliseconds = 200;

export class EntryDaemon {
	readonly #context: EntryContext;
	readonly #prefixes = new CachedPrefixes();
	readonly #atMostOnceRunner: AtMostOnceRunner;
	readonly #callers: HttpListener;
	readonly #operators: HttpListener;
	readonly #peers: EntryPeers;
	readonly #root: Supervisor;
	readonly #cachedContext: StoreCachedContext;
	readonly #saver: BlockSaver;
	readonly #reader: CacheEventReader;
	readonly #stop = new AbortController();
	readonly #timeline: TimelineSender;
	readonly #eventLoopLag = new EventLoopLag(() => performance.now(), (lagMilliseconds, processorMilliseconds) => {
		if (lagMilliseconds >= minLoggedLagMilliseconds) {
			this.#reportLag(Math.round(lagMilliseconds), Math.round(processorMilliseconds));
		}
	});

	constructor(settings: EntrySettings) {
		const identity = {program: 'savorygauge-entry', instance: settings.instance, dataCentre: settings.dataCentre};
		this.#timeline = new TimelineSender(identity, settings.timelineAddress);
		const logger = createLogger(identity, settings.logLevel);
		const metrics = new StatsdMetrics(settings.metricsAddress, identity);
		const limitReports = new CallerLimitReports({logger, metrics});
		const now = (): number => performance.now();
		this.#context = {
			settings,
			identity,
			clock: systemClock,
			newRequestId: randomUUID,
			logger,
			metrics,
			timeline: this.#timeline,
			table: new HttpTableService(settings.tableAddress),
			list: new HttpInstanceList(settings.listAddress),
			engine: new HttpModelEngine(),
			plain: new HttpPlainService(),
			configuration: new ConfigurationHolder(),
			endpoints: new EndpointDirectory(),
			requests: new RequestRegistry(),
			memory: new HeldMemory(memoryLimitsOf(settings.memoryMegabytes * bytesPerMegabyte), now, limitReports),
			eventLoopLag: this.#eventLoopLag,
			draining: false,
		};
		this.#atMostOnceRunner = new AtMostOnceRunner(this.#context);
		this.#peers = new EntryPeers(this.#context);
		const gate = new AdmissionGate(new FairShareAdmission(), systemClock);
		const stores = new HttpCacheStore();
		const links = new Map<string, LinkEstimate>();
		this.#saver = new BlockSaver(this.#context, stores, this.#prefixes);
		this.#reader = new CacheEventReader(this.#context, this.#prefixes);
		this.#cachedContext = new StoreCachedContext(this.#context, {
			prefixes: this.#prefixes, stores, reader: this.#reader, saver: this.#saver, links,
		});
		const policy = new ExpectedFirstTokenPolicy(this.#prefixes, {dataCentre: settings.dataCentre, links, blockTokens});
		const routes = new CallerRoutes(this.#context, {
			gate,
			runner: new CompletionRunner(this.#context, new FirstTokenNotifier(policy, gate), this.#cachedContext),
			plainRoute: new PlainRoute(this.#context, this.#atMostOnceRunner),
		});
		this.#callers = new HttpListener('caller-listener', routes.app, settings.listen, {
			...defaultListenerBounds,
			connections: new CallerConnections(connectionCapacityOf(settings.maxDescriptors), now, limitReports),
		});
		this.#operators = new HttpListener('operator-listener', createOperatorRoutes(this.#context, this.#peers), settings.operatorListen);
		this.#root = this.#tree(gate);
		this.#reportConfiguration();
	}

	/** Starts to listen and runs until `stop`. Calls `onListening` with the addresses. */
	async run(onListening: (addresses: EntryAddresses) => void): Promise<void> {
		this.#eventLoopLag.start();
		const addresses = {callers: await this.#callers.listen(), operators: await this.#operators.listen(), peers: await this.#peers.service.listen()};
		this.#timeline.record({kind: 'process-started', at: this.#context.clock.now()});
		this.#context.logger.info('listening', {...addresses});
		onListening(addresses);
		await this.#root.run(this.#stop.signal);
	}

	/** Refuses new requests, waits for the requests in flight and the open claims, and ends the process's components. */
	async stop(): Promise<void> {
		const {clock, logger} = this.#context;
		this.#context.draining = true;
		this.#timeline.record({kind: 'process-draining', at: clock.now()});
		logger.info('draining');
		await this.#callers.drain();
		await this.#operators.drain();
		await this.#atMostOnceRunner.settle();
		this.#peers.service.leave();
		this.#stop.abort();
		this.#eventLoopLag.stop();
		this.#timeline.record({kind: 'process-stopped', at: clock.now()});
		this.#timeline.flush(clock.now());
		await this.#timeline.close();
		this.#context.metrics.close();
	}

	#reportLag(milliseconds: number, processorMilliseconds: number): void {
		const {clock, logger} = this.#context;
		logger.warn('the event loop is late', {milliseconds, processorMilliseconds});
		this.#timeline.record({kind: 'event-loop-late', at: clock.now(), detail: `${milliseconds} ms, with ${processorMilliseconds} ms of processor time`});
	}

	#tree(gate: AdmissionGate): Supervisor {
		const {clock, logger, metrics} = this.#context;
		const report: ConstructorParameters<typeof Supervisor>[0]['report'] = event => {
			logger.error('a child failed', {child: event.child, kind: event.kind, error: String(event.error)});
			metrics.report('supervisor.restart', 1, {child: event.child});
			this.#timeline.record({kind: 'child-restarted', at: clock.now(), detail: event.child});
		};

		const common = {
			strategy: 'one-for-one' as const, intensity: restartIntensity, now: () => clock.now(), report,
		};
		const watchers = new Supervisor({
			...common,
			name: 'watchers',
			children: [
				this.#peers.service,
				new ConfigurationWatcher(this.#context, this.#peers),
				new InstanceWatcher(this.#context, [this.#context.endpoints, this.#peers, this.#cachedContext], this.#peers.random),
				new LoadWatcher(this.#context, this.#peers, new CapacityUpdater(this.#context, gate)),
				this.#saver,
				new CacheEventWatcher(this.#context, this.#reader, this.#peers.random),
			],
		});
		const dataPath = new Supervisor({
			...common,
			name: 'data-path',
			children: [gate, this.#callers, this.#operators],
		});
		return new Supervisor({...common, name: 'entry', children: [watchers, dataPath]});
	}

	#reportConfiguration(): void {
		const {configuration, endpoints, clock, metrics} = this.#context;
		configuration.onChange((state, change) => {
			endpoints.setDrained(new Set(state.drains.keys()));
			// Snapshots, which carry no change, come from peers only.
			const isFromPeer = change === undefined || this.#peers.isApplyingPeerChange;
			this.#timeline.record({
				kind: 'configuration-in-force', at: clock.now(), configurationVersion: state.version, detail: isFromPeer ? 'from a peer' : 'from the table',
			});
			metrics.report('configuration.version', state.version);
		});
	}
}
