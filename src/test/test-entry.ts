/** An entry in the test's process, with in-memory ports and a manual clock, listening on free local ports. */
import {Right} from 'purify-ts/Either';
import {CallerRoutes} from '../entry/callers/caller-routes.js';
import {AdmissionGate} from '../entry/callers/admission-gate.js';
import {CompletionRunner} from '../entry/callers/completion-runner.js';
import {AtMostOnceRunner} from '../entry/callers/at-most-once-runner.js';
import {PlainRoute} from '../entry/callers/plain-route.js';
import {ConfigurationHolder} from '../entry/configuration-holder.js';
import {EndpointDirectory} from '../entry/endpoint-directory.js';
import {type EntryContext} from '../entry/entry-context.js';
import {CallerLimitReports} from '../entry/callers/caller-limit-reports.js';
import {memoryLimitsOf} from '../decision/memory/memory-limits.js';
import {HeldMemory} from '../serving/held-memory.js';
import {EventLoopLag} from '../serving/event-loop-lag.js';
import {defaultListenerBounds, HttpListener} from '../serving/http-listener.js';
import {NoCachedContext} from '../entry/cache/cached-context.js';
import {RequestRegistry} from '../entry/request-registry.js';
import {createOperatorRoutes} from '../entry/operators/operator-routes.js';
import {BoundedQueueAdmission} from '../decision/admission/bounded-queue-admission.js';
import {LeastLoadedPolicy} from '../decision/routing/least-loaded-policy.js';
import {createLogger} from '../observability/logger.js';
import {StatsdMetrics} from '../observability/metrics.js';
import {type TimelineEntry} from '../observability/timeline-event.js';
import {changeDigest} from '../protocol/configuration/change-digest.js';
import {acceptProposal} from '../protocol/configuration/configuration-table.js';
import {digestOf} from '../shared/digest-of.js';
import {type ConfigurationEdit, type ListedInstance} from '../shared/types.js';
import {ManualClock} from './manual-clock.js';
import {MemoryModelEngine} from './memory-model-engine.js';
import {MemoryPlainService} from './memory-plain-service.js';
import {MemoryTable} from './memory-table.js';

export const testKey = 'key-of-the-quay';
export const testOperatorKey = 'operator-key-in-tests';
const initialTime = Date.UTC(2026, 5, 1, 8);

/** The model engines of every test entry. */
export const testEngines: readonly ListedInstance[] = ['riva-engine-1', 'riva-engine-2'].map(name => ({
	name, role: 'model-engine', dataCentre: 'riva', service: 'permits', address: name, peerAddress: '', state: 'live',
}));

const testPlain: ListedInstance = {
	name: 'riva-plain-1', role: 'plain-service', dataCentre: 'riva', service: 'bookings', address: 'riva-plain-1', peerAddress: '', state: 'live',
};

const edits: ConfigurationEdit[] = [
	{
		action: 'set', kind: 'workspace', item: {
			name: 'quay', keyDigests: [digestOf(testKey)], priority: 'urgent', share: 1, services: ['permits', 'bookings'],
		},
	},
	{
		action: 'set', kind: 'service', item: {
			name: 'permits', kind: 'model', model: 'permit-1', weightVersion: 'w1', fencing: 'checked', paused: false,
		},
	},
	{
		action: 'set', kind: 'service', item: {
			name: 'bookings', kind: 'plain', neverTwice: [{method: 'POST', path: '/bookings'}], fencing: 'ignored', paused: false,
		},
	},
];

/** The peer overview of an entry without peers. */
const overviewWithoutPeers = {
	overview: () => ({
		isReader: true, ownedEndpoints: [], linked: [], counts: {}, members: [],
	}),
};

export class TestEntry {
	readonly clock = new ManualClock(initialTime);
	readonly engine = new MemoryModelEngine();
	readonly table = new MemoryTable();
	readonly plain = new MemoryPlainService();
	readonly events: TimelineEntry[] = [];
	readonly context: EntryContext;
	readonly callers: HttpListener;
	readonly operators: HttpListener;
	callersAddress = '';
	operatorsAddress = '';
	readonly #eventLoopLag = new EventLoopLag(() => performance.now(), () => {
		// Tests ignore event loop delays.
	});

	#requests = 0;

	constructor(bounds = defaultListenerBounds) {
		const identity = {program: 'savorygauge-entry', instance: 'riva-entry-1', dataCentre: 'riva'};
		this.context = {
			identity,
			settings: {
				instance: identity.instance,
				dataCentre: 'riva',
				listen: '127.0.0.1:0',
				operatorListen: '127.0.0.1:0',
				peerListen: '127.0.0.1:0',
				peerSeeds: '',
				operatorKey: testOperatorKey,
				cacheSecret: 'cache-secret-in-tests',
				tableAddress: '',
				objectAddress: '',
				listAddress: '',
				timelineAddress: '',
				metricsAddress: '',
				logLevel: 'error',
				configurationPollMilliseconds: 500,
				loadPollMilliseconds: 500,
				listPollMilliseconds: 1000,
				storePieceMilliseconds: 20,
				memoryMegabytes: 2048,
				maxDescriptors: 4096,
			},
			clock: this.clock,
			newRequestId: () => `request-${++this.#requests}`,
			logger: createLogger(identity, 'error'),
			metrics: new StatsdMetrics('', identity),
			timeline: {
				record: entry => {
					this.events.push(entry);
				},
			},
			table: this.table,
			list: {read: async () => Right([])},
			engine: this.engine,
			plain: this.plain,
			configuration: new ConfigurationHolder(),
			endpoints: new EndpointDirectory(),
			requests: new RequestRegistry(),
			memory: new HeldMemory(memoryLimitsOf(2048 * 1_048_576), () => performance.now(), new CallerLimitReports({
				logger: createLogger(identity, 'error'), metrics: new StatsdMetrics('', identity),
			})),
			eventLoopLag: this.#eventLoopLag,
			draining: false,
		};
		this.callers = new HttpListener('callers', this.#routes().app, '127.0.0.1:0', bounds);
		this.operators = new HttpListener('operators', createOperatorRoutes(this.context, overviewWithoutPeers), '127.0.0.1:0', bounds);
	}

	/** Starts to listen with a configuration in force and both engines live. */
	async start(): Promise<void> {
		this.initialize();
		await this.#listen();
	}

	/** Sets the configuration in force and makes both engines live, without listening. */
	initialize(): void {
		this.configure(edits);
		this.#announceEndpoints();
	}

	async stop(): Promise<void> {
		this.#eventLoopLag.stop();
		await Promise.all([this.callers.drain(), this.operators.drain()]);
	}

	/** Like `start`, but the first configuration is also accepted at the table, as an operator's proposal would be. */
	async startWithTable(): Promise<void> {
		const accepted = await acceptProposal(this.table, {
			plannedAgainst: 0, author: 'vesna', reason: 'the first declaration', edits,
		}, this.clock.now());
		this.context.configuration.offer(accepted.unsafeCoerce());
		this.context.configuration.startGate.tableRead();
		this.#announceEndpoints();
		await this.#listen();
	}

	/** Puts edits into force as the next configuration version. */
	configure(changes: ConfigurationEdit[]): void {
		const {version, digest} = this.context.configuration.state;
		const change = {
			version: version + 1, previousDigest: digest, digest: '', author: 'test', reason: 'for a test', acceptedAt: this.clock.now(), edits: changes,
		};
		this.context.configuration.offer({...change, digest: changeDigest(change)});
		this.context.configuration.startGate.tableRead();
	}

	/** Delivers a load report of every engine, as live and idle. */
	reportEngines(): void {
		for (const {name} of testEngines) {
			this.reportEngine(name);
		}
	}

	/** Delivers a load report of one engine as live and idle, by default with the weight version that it runs. */
	reportEngine(name: string, weightVersion = this.engine.weightVersions.get(name) ?? 'w1'): void {
		this.context.endpoints.applyReport(name, {
			model: 'permit-1',
			weightVersion,
			state: 'live',
			runningRequests: 0,
			waitingRequests: 0,
			waitingPrefillTokens: 0,
			prefillTokensPerSecond: 20_000,
			decodeTokensPerSecond: 500,
			batchLimit: 16,
			kvTokensUsed: 0,
			kvTokensCapacity: 32_768,
			measuredAt: this.clock.now(),
		}, this.clock.now());
	}

	#announceEndpoints(): void {
		this.context.endpoints.applyList([...testEngines, testPlain]);
		this.reportEngines();
	}

	async #listen(): Promise<void> {
		this.#eventLoopLag.start();
		this.callersAddress = await this.callers.listen();
		this.operatorsAddress = await this.operators.listen();
	}

	#routes(): CallerRoutes {
		return new CallerRoutes(this.context, {
			gate: new AdmissionGate(new BoundedQueueAdmission(), this.clock),
			runner: new CompletionRunner(this.context, new LeastLoadedPolicy(), new NoCachedContext()),
			plainRoute: new PlainRoute(this.context, new AtMostOnceRunner(this.context)),
		});
	}
}
