/** Applies what operators write to the store: configurations, the weight versions of models, and evacuations of data centres. */
import {type Moment} from '../../ports/moment-clock.js';
import {type FeedRow} from '../../ports/table-feed.js';
import {type GatewayContext} from '../gateway-context.js';
import {type WeightTargets} from '../weights/weight-targets.js';
import {type StoreSchema} from './store-schema.js';
import {type Arrival, type FeedHandler} from './feed-update.js';

export class OperatorFeedHandler implements FeedHandler {
	readonly #context: Pick<GatewayContext, 'configuration' | 'evacuations' | 'log' | 'metrics'>;
	readonly #schema: StoreSchema;
	readonly #targets: WeightTargets;
	/** As of when the table was last confirmed; rows that arrive after that confirmation were written after this time. */
	#confirmedAt: Moment | undefined;
	/** Whether the feed has been followed without a gap, so that rows arrive as they are written. */
	#isFollowing = false;

	constructor(context: Pick<GatewayContext, 'configuration' | 'evacuations' | 'log' | 'metrics'>, schema: StoreSchema, targets: WeightTargets) {
		this.#context = context;
		this.#schema = schema;
		this.#targets = targets;
	}

	handleSnapshot(rows: readonly FeedRow[], sentAt: Moment, now: Moment, arrival: Arrival): void {
		this.#isFollowing = false;
		// A restored store may lack a row that is still in force.
		if (arrival !== 'restored') {
			this.#context.evacuations.endMissing(new Set(rows.map(({key}) => key)), now.steady);
		}

		this.handleChanges(rows, sentAt, now, arrival);
	}

	handleChanges(rows: readonly FeedRow[], sentAt: Moment, now: Moment, arrival: Arrival): void {
		for (const row of rows) {
			this.#applyRow(row, sentAt, now, arrival);
		}

		if (arrival === 'restored') {
			// A newer configuration that revoked a key may not have been rewritten yet, so the lease must not be renewed.
			this.#isFollowing = false;
			return;
		}

		this.#isFollowing = true;
		this.#context.configuration.confirm(sentAt);
		if (this.#confirmedAt === undefined || sentAt.steady > this.#confirmedAt.steady) {
			this.#confirmedAt = sentAt;
		}
	}

	handleFailure(): void {
		// The lease on the configuration expires without further action.
		this.#isFollowing = false;
	}

	#applyRow({key, content, isDeleted}: FeedRow, sentAt: Moment, now: Moment, arrival: Arrival): void {
		if (isDeleted) {
			this.#context.evacuations.end(key, now.steady);
			return;
		}

		this.#schema.readOperatorRow(key, content).caseOf({
			Left: findings => {
				this.#context.log.record('configuration-refused', {row: key, findings});
			},
			Right: row => {
				if (row.kind === 'configuration') {
					const isTaken = this.#context.configuration.offer(row.configuration);
					const {version, routes} = row.configuration;
					this.#context.metrics.configurationVersion.set(this.#context.configuration.current?.version ?? 0);
					this.#context.log.record('configuration-taken', {
						version, isTaken, routes: routes.length, readMilliseconds: Math.round(now.steady - sentAt.steady),
					});
				} else if (row.kind === 'evacuation') {
					this.#context.evacuations.begin(key, row.dataCentre, now.steady);
				} else if (row.kind === 'weights' && this.#targets.add(row.weights, {observedAt: now, namedNotBefore: this.#isFollowing && arrival === 'live' ? now : this.#confirmedAt})) {
					this.#context.log.record('weights-named', {...row.weights, isFollowing: this.#isFollowing, arrival});
				}
			},
		});
	}
}
