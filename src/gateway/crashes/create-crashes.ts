/** Assembles what an instance knows of crashes: the ledger, the writer and the reader of its table, and the data path's view. */
import {CrashFeedHandler} from './crash-feed-handler.js';
import {CrashLedger} from './crash-ledger.js';
import {CrashReportPublisher, type CrashReportPublisherDependencies} from './crash-report-publisher.js';
import {EndpointCrashes, type EndpointCrashesDependencies} from './endpoint-crashes.js';

export type CrashesDependencies = Omit<CrashReportPublisherDependencies & EndpointCrashesDependencies, 'ledger' | 'publish'>;

export function createCrashes(dependencies: CrashesDependencies): {crashes: EndpointCrashes; publisher: CrashReportPublisher; handler: CrashFeedHandler} {
	const ledger = new CrashLedger();
	const publisher = new CrashReportPublisher({...dependencies, ledger});
	const crashes = new EndpointCrashes({
		...dependencies, ledger, publish(report) {
			publisher.publish(report);
		},
	});
	return {crashes, publisher, handler: new CrashFeedHandler(ledger, publisher)};
}
