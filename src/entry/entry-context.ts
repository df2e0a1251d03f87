/** Dependencies and state that the components of an entry share: its identity, its ports, and its view of the cluster. */
import {type ProcessIdentity, type ProcessLogger} from '../observability/logger.js';
import {type Metrics} from '../observability/metrics.js';
import {type TimelineRecorder} from '../observability/timeline-event.js';
import {type Clock} from '../ports/clock.js';
import {type InstanceList} from '../ports/instance-list.js';
import {type ModelEngine} from '../ports/model-engine.js';
import {type PlainService} from '../ports/plain-service.js';
import {type TableService} from '../ports/table-service.js';
import {type EventLoopLag} from '../serving/event-loop-lag.js';
import {type HeldMemory} from '../serving/held-memory.js';
import {type ConfigurationHolder} from './configuration-holder.js';
import {type EndpointDirectory} from './endpoint-directory.js';
import {type EntrySettings} from './entry-settings.js';
import {type RequestRegistry} from './request-registry.js';

export type EntryContext = {
	settings: EntrySettings;
	identity: ProcessIdentity;
	clock: Clock;
	/** Returns a new id for a request. */
	newRequestId: () => string;
	logger: ProcessLogger;
	metrics: Metrics;
	timeline: TimelineRecorder;
	table: TableService;
	list: InstanceList;
	engine: ModelEngine;
	plain: PlainService;
	configuration: ConfigurationHolder;
	endpoints: EndpointDirectory;
	requests: RequestRegistry;
	/** Counts the bodies of callers' requests. */
	memory: HeldMemory;
	eventLoopLag: Pick<EventLoopLag, 'current'>;
	/** True from the start of a shutdown on: new requests are refused. */
	draining: boolean;
};
