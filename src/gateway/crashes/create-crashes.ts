/** Assembles what an instance knows of crashes: the ledger, the writer and the reader of its table, and the data path's view. */
import {type LocalFollower} from '../coordinator/local-follower.js';
import {type CrashReportWriter} from '../coordinator/report-relay.js';
import {CrashFeedHandler} from './crash-feed-handler.js';
import {CrashLedger} from './crash-ledger.js';
import {CrashReportPublisher, type CrashReportPublisherDependencies} from './crash-report-publisher.js';
import {EndpointCrashes, type EndpointCrashesDependencies} from './endpoint-crashes.js';

export type CrashesDependencies = Omit<CrashReportPublisherDependencies & EndpointCrashesDependencies, 'ledger' | 'publish' | 'claim'>;

export type CreatedCrashes = {
	crashes: EndpointCrashes;
	publisher: CrashReportPublisher;
	handler: CrashFeedHandler;
	/** What the coordinator exchanges with this instance. */
	follower: Pick<LocalFollower, 'unconfirmedCrashes' | 'applyCrashes'>;
	/** What a coordinator at this instance does with the reports of its followers. */
	coordinator: CrashReportWriter;
};

export function createCrashes(dependencies: CrashesDependencies): CreatedCrashes {
	const ledger = new CrashLedger();
	const publisher = new CrashReportPublisher({...dependencies, ledger});
	const crashes = new EndpointCrashes({
		...dependencies, ledger, publish(report) {
			publisher.publish(report);
		},
		claim: async (key, report) => publisher.claim(key, report),
	});
	const handler = new CrashFeedHandler(ledger, publisher);
	return {
		crashes,
		publisher,
		handler,
		coordinator: {
			adopt(reports) {
				publisher.adopt(reports);
			},
			isUnwritten: key => publisher.isPending(key),
		},
		follower: {
			unconfirmedCrashes: () => publisher.unconfirmed(),
			applyCrashes(reports) {
				handler.handleUnconfirmed(reports);
			},
		},
	};
}
