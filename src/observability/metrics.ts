/**
 * Metrics, sent with hot-shots. One table defines their names, units and tags, and docs/METRICS.md is generated from it.
 * Nothing is sent if no metrics address is set.
 */
import {StatsD} from 'hot-shots';
import {type ProcessIdentity} from './logger.js';

/** All metrics by name, without the prefix `savorygauge.`. */
export const metricDefinitions = {
	'request.time_to_first_token': {
		kind: 'timing', unit: 'milliseconds', tags: ['priority', 'service'], description: 'from the arrival of a prompt to its first token',
	},
	'request.whole_time': {
		kind: 'timing', unit: 'milliseconds', tags: ['priority', 'service'], description: 'from the arrival of a request to the end of its answer',
	},
	'request.refused': {
		kind: 'count', unit: 'requests', tags: ['reason', 'ran'], description: 'requests that were refused; `ran` is `not-run` or `unknown`',
	},
	'request.prompt_tokens': {
		kind: 'count', unit: 'tokens', tags: ['service'], description: 'prompt tokens of whole answers',
	},
	'request.recomputed_tokens': {
		kind: 'count', unit: 'tokens', tags: ['service'], description: 'those prompt tokens that no cache had',
	},
	'request.open': {
		kind: 'gauge', unit: 'requests', tags: [], description: 'requests under way at the instance',
	},
	'kept.pieces_fetched': {
		kind: 'count', unit: 'pieces', tags: [], description: 'kept pieces that were brought from a store to an endpoint',
	},
	'kept.pieces_saved': {
		kind: 'count', unit: 'pieces', tags: [], description: 'pieces that were written to a store and sealed',
	},
	'kept.pieces_not_saved': {
		kind: 'count', unit: 'pieces', tags: ['reason'], description: 'pieces that were not saved: too many waited (`queue`), no answer in all tries, a full store, or evicted before their turn',
	},
	'connection.limited': {
		kind: 'count', unit: 'connections', tags: ['outcome'], description: 'connections of callers for which there was none left: `not-accepted`, `request-refused`, or closed for others (`arriving-closed`, `idle-closed`)',
	},
	'connection.held_back': {
		kind: 'count', unit: 'times', tags: [], description: 'how often bodies that arrive took so much processor time that connections were not read for a moment',
	},
	'memory.outcome': {
		kind: 'count', unit: 'bodies', tags: ['outcome'], description: 'bodies that had not arrived and were refused because others needed their memory (`displaced`)',
	},
	'claim.write': {
		kind: 'count', unit: 'writes', tags: ['outcome'], description: 'writes of claims to the table service',
	},
	'configuration.version': {
		kind: 'gauge', unit: 'version', tags: [], description: 'the version in force at the instance',
	},
	'peers.live': {
		kind: 'gauge', unit: 'instances', tags: [], description: 'other instances that this one holds to be alive',
	},
	'peers.links': {
		kind: 'gauge', unit: 'links', tags: [], description: 'open links to other instances',
	},
	'peers.bytes_out': {
		kind: 'gauge', unit: 'bytes since the start', tags: [], description: 'bytes sent to other instances',
	},
	'peers.bytes_in': {
		kind: 'gauge', unit: 'bytes since the start', tags: [], description: 'bytes received from other instances',
	},
	'peers.dropped': {
		kind: 'gauge', unit: 'messages since the start', tags: [], description: 'messages to other instances that were dropped because a link was behind',
	},
	'supervisor.restart': {
		kind: 'count', unit: 'restarts', tags: ['child'], description: 'restarts of a part of the instance',
	},
	'timeline.dropped': {
		kind: 'count', unit: 'events', tags: [], description: 'events that the instance dropped before they were sent',
	},
} as const;

export type MetricName = keyof typeof metricDefinitions;

/** Receives the values of metrics from the components of a process. */
export interface Metrics {
	/** Reports a value in the unit of the metric. */
	report(name: MetricName, value: number, tags?: Record<string, string>): void;
	close(): void;
}

/** Sends metrics by the StatsD protocol over UDP. */
export class StatsdMetrics implements Metrics {
	readonly #client: StatsD;

	/**
	 * @param address - `IP:port` of the StatsD server; nothing is sent if it is empty.
	 * @param identity - The instance and data centre, which are tags of every metric.
	 */
	constructor(address: string, identity: ProcessIdentity) {
		const separator = address.lastIndexOf(':');
		this.#client = new StatsD({
			...(address === '' ? {} : {host: address.slice(0, separator), port: Number(address.slice(separator + 1))}),
			prefix: 'savorygauge.',
			mock: address === '',
			globalTags: {instance: identity.instance, data_centre: identity.dataCentre},
			errorHandler() {
				// A metric that cannot be sent is lost; this must not affect the data path.
			},
		});
	}

	report(name: MetricName, value: number, tags: Record<string, string> = {}): void {
		const {kind} = metricDefinitions[name];
		if (kind === 'timing') {
			this.#client.timing(name, value, tags);
		} else if (kind === 'count') {
			this.#client.increment(name, value, tags);
		} else {
			this.#client.gauge(name, value, tags);
		}
	}

	close(): void {
		this.#client.close();
	}
}
