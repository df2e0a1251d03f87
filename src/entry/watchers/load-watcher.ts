/** Asks the model endpoints for their load again and again. An endpoint that does not answer ages by itself. */
import {type Child} from '../../supervisor/supervisor.js';
import {type EntryContext} from '../entry-context.js';

export class LoadWatcher implements Child {
	readonly name = 'load-watcher';
	readonly #context: EntryContext;

	constructor(context: EntryContext) {
		this.#context = context;
	}

	async run(signal: AbortSignal): Promise<void> {
		const {clock, settings, endpoints, engine} = this.#context;
		while (!signal.aborted) {
			await Promise.all(endpoints.engines().map(async ({name, address}) => {
				const report = await engine.loadReport(address);
				report.ifRight(load => {
					endpoints.takeReport(name, load, clock.now());
				});
			}));
			await clock.sleep(settings.loadPollMilliseconds, signal);
		}
	}
}
