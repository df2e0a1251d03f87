/** Reports what becomes of callers' connections and bodies at their limits: a metric for each, and one log line a second with their counts. */
import {type ProcessLogger} from '../../observability/logger.js';
import {type Metrics} from '../../observability/metrics.js';
import {type ConnectionReport, type ConnectionReports} from '../../serving/caller-connections.js';
import {type MemoryReports} from '../../serving/held-memory.js';

const lineMilliseconds = 1000;

export class CallerLimitReports implements ConnectionReports, MemoryReports {
	readonly #logger: Pick<ProcessLogger, 'warn'>;
	readonly #metrics: Pick<Metrics, 'report'>;
	#counts: Record<string, number> = {};
	#last: ConnectionReport | undefined;
	#isScheduled = false;

	constructor({logger, metrics}: {logger: Pick<ProcessLogger, 'warn'>; metrics: Pick<Metrics, 'report'>}) {
		this.#logger = logger;
		this.#metrics = metrics;
	}

	onLimited(report: ConnectionReport): void {
		this.#metrics.report('connection.limited', 1, {outcome: report.outcome});
		this.#last = report;
		this.#count(report.outcome);
	}

	onHeldBack(): void {
		this.#metrics.report('connection.held_back', 1);
		this.#count('held-back');
	}

	onBodyRefused(): void {
		this.#metrics.report('memory.outcome', 1, {outcome: 'displaced'});
		this.#count('body-displaced');
	}

	onPaused(): void {
		// Only bodies are counted here.
	}

	onEnded(): void {
		// Only bodies are counted here.
	}

	#count(name: string): void {
		this.#counts[name] = (this.#counts[name] ?? 0) + 1;
		if (this.#isScheduled) {
			return;
		}

		this.#isScheduled = true;
		setTimeout(() => {
			this.#logger.warn('callers are limited', {counts: this.#counts, ...(this.#last === undefined ? {} : {last: this.#last})});
			this.#counts = {};
			this.#last = undefined;
			this.#isScheduled = false;
		}, lineMilliseconds).unref();
	}
}
