/** Updates the endpoint registry from the store's table of endpoints. */
import {type Moment} from '../../ports/moment-clock.js';
import {type FeedRow} from '../../ports/table-feed.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type RegistryChange} from '../endpoints/endpoint-registry.js';
import {type GatewayContext} from '../gateway-context.js';
import {type StoreSchema} from './store-schema.js';
import {type Arrival, type FeedHandler} from './feed-update.js';

type HandlerContext = Pick<GatewayContext, 'endpoints' | 'placement' | 'log'> & {warmUps: Pick<GatewayContext['warmUps'], 'noteRow'>};

export class EndpointFeedHandler implements FeedHandler {
	readonly #context: HandlerContext;
	readonly #schema: StoreSchema;

	constructor(context: HandlerContext, schema: StoreSchema) {
		this.#context = context;
		this.#schema = schema;
	}

	handleSnapshot(rows: readonly FeedRow[], sentAt: Moment, now: Moment, arrival: Arrival): void {
		const records = rows.map(row => this.#decode(row)).filter(record => record !== undefined);
		this.#applyChange(this.#context.endpoints.replaceAll(records, now.steady, arrival === 'restored'));
		this.#confirm(sentAt, now, arrival);
	}

	handleChanges(rows: readonly FeedRow[], sentAt: Moment, now: Moment, arrival: Arrival): void {
		for (const row of rows) {
			const record = row.isDeleted ? undefined : this.#decode(row);
			// A row that cannot be decoded removes its endpoint, even if an earlier version of the row could be decoded.
			this.#applyChange(record === undefined ? this.#context.endpoints.remove(row.key, now.steady) : this.#context.endpoints.put(record, now.steady));
		}

		this.#applyChange(this.#context.endpoints.expire(now.steady));
		this.#confirm(sentAt, now, arrival);
	}

	handleFailure(failedAt: Moment): void {
		this.#context.endpoints.noteStoreFailure(failedAt.steady);
	}

	/** A restored store may lack rows, so it confirms nothing. */
	#confirm(sentAt: Moment, now: Moment, arrival: Arrival): void {
		if (arrival !== 'restored') {
			this.#context.endpoints.confirmAt(sentAt, now);
		}
	}

	#decode({key, content}: FeedRow): EndpointRecord | undefined {
		return this.#schema.readEndpointRow(key, content).caseOf({
			Left: findings => {
				this.#context.log.record('endpoint-unreadable', {row: key, findings});
				return undefined;
			},
			Right: record => record,
		});
	}

	#applyChange({appeared, vanished, believed, turned, held}: RegistryChange): void {
		for (const record of believed) {
			this.#context.warmUps.noteRow(record);
		}

		for (const {record: {name, state, startedAt, sequence}, reason} of held) {
			this.#context.log.record('endpoint-row-held', {
				endpoint: name, reason, state, startedAt, sequence,
			});
		}

		for (const {name, state, startedAt, sequence} of turned) {
			this.#context.log.record('endpoint-state', {
				endpoint: name, state, startedAt, sequence,
			});
		}

		for (const record of vanished) {
			this.#context.placement.forget(record);
			this.#context.log.record('endpoint-vanished', {endpoint: record.name, service: record.service, address: record.address});
		}

		for (const record of appeared) {
			this.#context.log.record('endpoint-appeared', {
				endpoint: record.name, service: record.service, address: record.address, state: record.state, softwareVersion: record.softwareVersion, startedAt: record.startedAt, sequence: record.sequence,
			});
		}
	}
}
