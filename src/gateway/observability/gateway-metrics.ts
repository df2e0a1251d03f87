/** Counters and latency histograms of the routed data path, served in the Prometheus text format. */
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';

/** Bucket bounds in seconds, from an answer on the same machine to the longest usual timeout. */
const latencyBuckets = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];

export class GatewayMetrics {
	readonly registry = new Registry();
	readonly requests = new Counter({
		name: 'savorygauge_requests_total', help: 'Requests ended, by route kind and outcome.', labelNames: ['kind', 'outcome'], registers: [this.registry],
	});

	readonly refusals = new Counter({
		name: 'savorygauge_refusals_total', help: 'Requests refused by this instance, by reason.', labelNames: ['reason'], registers: [this.registry],
	});

	readonly attempts = new Counter({
		name: 'savorygauge_tries_total', help: 'Sends to endpoints, by how they ended.', labelNames: ['outcome'], registers: [this.registry],
	});

	/** The values of `connection` are those of `ConnectionUse`. */
	readonly endpointConnections = new Counter({
		name: 'savorygauge_endpoint_connections_total',
		help: 'Requests written to endpoints, by service and whether their connection was new, kept, or relayed by another instance.',
		labelNames: ['service', 'connection'],
		registers: [this.registry],
	});

	/** The label values are those of `SilenceEnd`. */
	readonly silences = new Counter({
		name: 'savorygauge_silences_total', help: 'Silences of endpoints during attempts, by how they ended.', labelNames: ['end'], registers: [this.registry],
	});

	/** The label values are those of `AnswerFraming` and `BodyEnd`. */
	readonly answers = new Counter({
		name: 'savorygauge_answers_total', help: 'Bodies of endpoints\' answers, by how their end is marked and how they ended.', labelNames: ['framing', 'ending'], registers: [this.registry],
	});

	readonly timeToFirstByte = new Histogram({
		name: 'savorygauge_first_byte_seconds', help: 'From the arrival of a request to the first byte of its answer.', labelNames: ['kind'], buckets: latencyBuckets, registers: [this.registry],
	});

	readonly requestDuration = new Histogram({
		name: 'savorygauge_request_seconds', help: 'From the arrival of a request to the end of its answer.', labelNames: ['kind'], buckets: latencyBuckets, registers: [this.registry],
	});

	/** The label values of `phase` are those of `LatePhase`. */
	readonly lateAnswers = new Counter({
		name: 'savorygauge_late_answers_total',
		help: 'Complete answers after the objective of their route, by route kind and the phase that took longest.',
		labelNames: ['kind', 'phase'],
		registers: [this.registry],
	});

	readonly storeCalls = new Counter({
		name: 'savorygauge_store_calls_total', help: 'Calls to the platform\'s store, by kind, table and outcome.', labelNames: ['call', 'table', 'outcome'], registers: [this.registry],
	});

	readonly configurationVersion = new Gauge({
		name: 'savorygauge_configuration_version', help: 'Version of the configuration in force.', registers: [this.registry],
	});

	readonly orders = new Counter({
		name: 'savorygauge_orders_total', help: 'Orders given to engines, by outcome.', labelNames: ['outcome'], registers: [this.registry],
	});

	readonly openRequests = new Gauge({
		name: 'savorygauge_open_requests', help: 'Requests under way.', registers: [this.registry],
	});

	readonly eventLoopLate = new Counter({
		name: 'savorygauge_event_loop_late_seconds_total', help: 'Time by which the event loop ran timers late.', registers: [this.registry],
	});

	readonly permits = new Counter({
		name: 'savorygauge_permits_total', help: 'Requests for endpoints that had named a limit, by whether they were let through.', labelNames: ['outcome'], registers: [this.registry],
	});

	readonly slots = new Counter({
		name: 'savorygauge_slots_total', help: 'Requests for endpoints of brittle services, by whether the coordinator granted a slot.', labelNames: ['outcome'], registers: [this.registry],
	});

	/** The label values are those of `CoordinatorRole`. */
	readonly droppedQueries = new Counter({
		name: 'savorygauge_dropped_queries_total', help: 'Queries of other instances that this coordinator or standby dropped as too old to matter.', labelNames: ['role'], registers: [this.registry],
	});

	readonly unreachableEndpoints = new Gauge({
		name: 'savorygauge_unreachable_endpoints', help: 'Listed endpoints that this instance cannot reach.', registers: [this.registry],
	});

	readonly warmUpPermits = new Counter({
		name: 'savorygauge_warm_up_permits_total', help: 'Requests for endpoints that were warming up, by whether they were let through.', labelNames: ['outcome'], registers: [this.registry],
	});

	readonly warmingEndpoints = new Gauge({
		name: 'savorygauge_warming_endpoints', help: 'Endpoints that are warming up, as far as this instance knows.', registers: [this.registry],
	});

	readonly waitingRequests = new Gauge({
		name: 'savorygauge_waiting_requests', help: 'Requests that wait for room, by service and rank.', labelNames: ['service', 'rank'], registers: [this.registry],
	});

	/** The label values are those of `WaitOutcome`. */
	readonly waitOutcomes = new Counter({
		name: 'savorygauge_wait_outcomes_total', help: 'Requests for which no endpoint had room, by what became of them.', labelNames: ['reason'], registers: [this.registry],
	});

	readonly waits = new Histogram({
		name: 'savorygauge_waiting_seconds', help: 'Waits of requests for room, by how they ended.', labelNames: ['outcome'], buckets: latencyBuckets, registers: [this.registry],
	});

	readonly requestedPerSecond = new Gauge({
		name: 'savorygauge_requested_per_second', help: 'Calls to a service within the last second at all instances; set at the coordinator.', labelNames: ['service'], registers: [this.registry],
	});

	readonly capacityPerSecond = new Gauge({
		name: 'savorygauge_capacity_per_second', help: 'Calls a second that the endpoints of a service can serve; set at the coordinator.', labelNames: ['service'], registers: [this.registry],
	});

	/** The label values are those of `ShareReason`. */
	readonly shareRefusals = new Counter({
		name: 'savorygauge_share_refusals_total',
		help: 'Calls refused because their workspace requests more than its share, by service, rank and reason.',
		labelNames: ['service', 'rank', 'reason'],
		registers: [this.registry],
	});

	readonly evacuatedDataCentres = new Gauge({
		name: 'savorygauge_evacuated_data_centres', help: 'Data centres whose endpoints get no new requests because operators have evacuated them.', registers: [this.registry],
	});

	readonly relayed = new Counter({
		name: 'savorygauge_relayed_connections_total', help: 'Connections to endpoints that other instances requested from this one, by outcome.', labelNames: ['outcome'], registers: [this.registry],
	});

	readonly meanPace = new Gauge({
		name: 'savorygauge_mean_pace_ratio', help: 'Mean time that work takes at endpoints that report their pace, as a ratio of the usual.', labelNames: ['service'], registers: [this.registry],
	});

	readonly slowEndpointsAvoided = new Counter({
		name: 'savorygauge_slow_endpoints_avoided_total', help: 'Sends to an endpoint in place of one whose pace is slow at present.', labelNames: ['service'], registers: [this.registry],
	});

	/** Returns the bytes held by kind; unset where the memory of the process is not limited. */
	readHeldBytes: (() => Record<'bodies' | 'answers', number>) | undefined;

	/** Set only when the metrics are read, since the count changes with each chunk. */
	readonly heldBytes = new Gauge({
		name: 'savorygauge_held_bytes',
		help: 'Bytes held for callers, by kind: request bodies, and answers that were not read.',
		labelNames: ['kind'],
		registers: [this.registry],
		collect: () => {
			for (const [kind, bytes] of Object.entries(this.readHeldBytes?.() ?? {})) {
				this.heldBytes.set({kind}, bytes);
			}
		},
	});

	readonly memoryOutcomes = new Counter({
		name: 'savorygauge_memory_outcomes_total',
		help: 'Requests affected by the limits on held bytes, by reason: paused or ended answers, refused bodies, and those among them that stood still while others needed their memory.',
		labelNames: ['reason'],
		registers: [this.registry],
	});

	/** Returns what callers hold at present; unset before the listener is created. */
	readConnections: (() => {held: number; heldBack: number}) | undefined;

	/** Set only when the metrics are read. */
	readonly callerConnections = new Gauge({
		name: 'savorygauge_caller_connections',
		help: 'Connections of callers, and connections to endpoints for their requests (held), and those that are not read at present because others go first (held-back).',
		labelNames: ['state'],
		registers: [this.registry],
		collect: () => {
			const {held, heldBack} = this.readConnections?.() ?? {held: 0, heldBack: 0};
			this.callerConnections.set({state: 'held'}, held);
			this.callerConnections.set({state: 'held-back'}, heldBack);
		},
	});

	/** The label values are those of `ConnectionOutcome`. */
	readonly connectionOutcomes = new Counter({
		name: 'savorygauge_connection_outcomes_total',
		help: 'Connections and requests of callers for which there was no connection left, by what became of them.',
		labelNames: ['reason'],
		registers: [this.registry],
	});

	readonly heldBackReads = new Counter({
		name: 'savorygauge_held_back_total', help: 'How often the bodies that arrive took so much processor time that connections were not read for a moment.', registers: [this.registry],
	});

	readonly crashes = new Counter({
		name: 'savorygauge_endpoint_crashes_total', help: 'Endpoints found to have ended under requests of this instance.', registers: [this.registry],
	});
}
