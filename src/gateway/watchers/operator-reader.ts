/** Applies what operators write to the store: configurations, and the weight versions that models are to be served with. */
import {type Moment} from '../../ports/moment-clock.js';
import {type FeedRow} from '../../ports/table-feed.js';
import {type GatewayContext} from '../gateway-context.js';
import {type WeightTargets} from '../weights/weight-targets.js';
import {type Catalog} from './catalog.js';
import {type Arrival, type FeedReader} from './feed-news.js';

export class OperatorReader implements FeedReader {
	readonly #context: Pick<GatewayContext, 'configuration' | 'log' | 'metrics'>;
	readonly #catalog: Catalog;
	readonly #goals: WeightTargets;
	/** As of when the table was last confirmed; rows that arrive after that confirmation were written after this time. */
	#provenAt: Moment | undefined;
	/** Whether the feed has been followed without a gap, so that rows arrive as they are written. */
	#isFollowing = false;

	constructor(context: Pick<GatewayContext, 'configuration' | 'log' | 'metrics'>, catalog: Catalog, goals: WeightTargets) {
		this.#context = context;
		this.#catalog = catalog;
		this.#goals = goals;
	}

	takeWhole(rows: readonly FeedRow[], sentAt: Moment, now: Moment, arrival: Arrival): void {
		this.#isFollowing = false;
		this.takeChanges(rows, sentAt, now, arrival);
	}

	takeChanges(rows: readonly FeedRow[], sentAt: Moment, now: Moment, arrival: Arrival): void {
		for (const row of rows) {
			this.#take(row, sentAt, now, arrival);
		}

		if (arrival === 'restored') {
			// A newer configuration that revoked a key may not have been rewritten yet, so the lease must not be renewed.
			this.#isFollowing = false;
			return;
		}

		this.#isFollowing = true;
		this.#context.configuration.confirm(sentAt);
		if (this.#provenAt === undefined || sentAt.steady > this.#provenAt.steady) {
			this.#provenAt = sentAt;
		}
	}

	takeFailure(): void {
		// The lease on the configuration expires without further action.
		this.#isFollowing = false;
	}

	#take({key, content, isDeleted}: FeedRow, sentAt: Moment, now: Moment, arrival: Arrival): void {
		if (isDeleted) {
			return;
		}

		this.#catalog.readOperatorRow(key, content).caseOf({
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
				} else if (row.kind === 'weights' && this.#goals.add(row.weights, {observedAt: now, namedNotBefore: this.#isFollowing && arrival === 'live' ? now : this.#provenAt})) {
					this.#context.log.record('weights-named', {...row.weights, isFollowing: this.#isFollowing, arrival});
				}
			},
		});
	}
}
