/** Updates the endpoint registry from the store's table of endpoints. */
import {type Moment} from '../../ports/moment-clock.js';
import {type FeedRow} from '../../ports/table-feed.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type RegistryChange} from '../endpoints/endpoint-registry.js';
import {type GatewayContext} from '../gateway-context.js';
import {type Catalog} from './catalog.js';
import {type Arrival, type FeedReader} from './feed-news.js';

type ReaderContext = Pick<GatewayContext, 'endpoints' | 'placement' | 'log'>;

export class EndpointReader implements FeedReader {
	readonly #context: ReaderContext;
	readonly #catalog: Catalog;

	constructor(context: ReaderContext, catalog: Catalog) {
		this.#context = context;
		this.#catalog = catalog;
	}

	takeWhole(rows: readonly FeedRow[], _sentAt: Moment, now: Moment, arrival: Arrival): void {
		const records = rows.map(row => this.#read(row)).filter(record => record !== undefined);
		this.#changed(this.#context.endpoints.replaceAll(records, now.steady, arrival === 'restored'));
	}

	takeChanges(rows: readonly FeedRow[], _sentAt: Moment, now: Moment): void {
		for (const row of rows) {
			const record = row.isDeleted ? undefined : this.#read(row);
			// A row that cannot be decoded removes its endpoint, even if an earlier version of the row could be decoded.
			this.#changed(record === undefined ? this.#context.endpoints.remove(row.key, now.steady) : this.#context.endpoints.put(record));
		}

		this.#changed(this.#context.endpoints.expire(now.steady));
	}

	takeFailure(failedAt: Moment): void {
		this.#context.endpoints.noteStoreFailure(failedAt.steady);
	}

	#read({key, content}: FeedRow): EndpointRecord | undefined {
		return this.#catalog.readEndpointRow(key, content).caseOf({
			Left: findings => {
				this.#context.log.record('endpoint-unreadable', {row: key, findings});
				return undefined;
			},
			Right: record => record,
		});
	}

	#changed({appeared, vanished}: RegistryChange): void {
		for (const record of vanished) {
			this.#context.placement.forget(record);
			this.#context.log.record('endpoint-vanished', {endpoint: record.name, service: record.service, address: record.address});
		}

		for (const record of appeared) {
			this.#context.log.record('endpoint-appeared', {
				endpoint: record.name, service: record.service, address: record.address, state: record.state,
			});
		}
	}
}
