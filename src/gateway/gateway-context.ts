/** The components that the routed data path shares. */
import {type BlockPlanner} from '../decision/blocks/plan-blocks.js';
import {type PlacementPolicy} from '../decision/placement/placement.js';
import {type Regions} from '../decision/routing/allowed-regions.js';
import {type Urgency} from '../decision/urgency/urgency.js';
import {type EndpointRests} from '../decision/limits/endpoint-rests.js';
import {type SharedRetryBudget} from '../decision/limits/shared-retry-budget.js';
import {type MomentClock} from '../ports/moment-clock.js';
import {type HeldMemory} from '../serving/held-memory.js';
import {type EventLoopLag} from '../serving/event-loop-lag.js';
import {type ConfigurationView} from './configuration/configuration-view.js';
import {type EndpointCrashes} from './crashes/endpoint-crashes.js';
import {type EndpointExchanges} from './data-path/endpoint-exchange.js';
import {type Refuse} from './data-path/refuse.js';
import {type WireNames} from './data-path/wire-names.js';
import {type BrittleServices} from './limits/brittle-services.js';
import {type EndpointLimits} from './limits/endpoint-limits.js';
import {type WarmUpLimits} from './limits/warm-up-limits.js';
import {type EndpointPaths} from './endpoints/endpoint-paths.js';
import {type EndpointRegistry} from './endpoints/endpoint-registry.js';
import {type Evacuations} from './endpoints/evacuations.js';
import {type EndpointVersions} from './endpoints/endpoint-watches.js';
import {type DecisionLog} from './observability/decision-log.js';
import {type GatewayMetrics} from './observability/gateway-metrics.js';
import {type PeerUpdates} from './coordinator/local-follower.js';
import {type CoordinatorView} from './coordinator/coordinator-view.js';
import {type RelayClient} from './relay/relay-client.js';
import {type WaitingRequests} from './waiting/waiting-requests.js';
import {type WorkspaceShares} from './shares/workspace-shares.js';
import {type StreamOrigins} from './streams/stream-origins.js';
import {type LoadingEngines} from './watchers/loading-engines.js';
import {type WeightTargets} from './weights/weight-targets.js';

export type GatewayContext = {
	dataCentre: string;
	regions: Regions;
	clock: MomentClock;
	names: WireNames;
	configuration: ConfigurationView;
	endpoints: EndpointRegistry;
	endpointVersions: EndpointVersions;
	evacuations: Evacuations;
	paths: EndpointPaths;
	relays: Pick<RelayClient, 'connect'>;
	placement: PlacementPolicy;
	retryBudget: SharedRetryBudget;
	crashes: EndpointCrashes;
	streamOrigins: StreamOrigins;
	limits: Pick<EndpointLimits, 'note' | 'maySend'>;
	brittle: Pick<BrittleServices, 'note' | 'maySend' | 'noteSent' | 'noteEnded'>;
	rests: EndpointRests;
	warmUps: Pick<WarmUpLimits, 'noteRow' | 'noteLost' | 'isWarmingUp' | 'isFull' | 'maySend'>;
	exchanges: EndpointExchanges;
	weightTargets: WeightTargets;
	loadingEngines: LoadingEngines;
	coordinatorView: CoordinatorView;
	peerUpdates: PeerUpdates;
	blockPlanner: BlockPlanner;
	/** Absent where the memory of the process is not limited. */
	memory?: HeldMemory | undefined;
	eventLoopLag: Pick<EventLoopLag, 'current'>;
	log: DecisionLog;
	metrics: GatewayMetrics;
	/** Absent where requests without room are refused at once. */
	waiting?: WaitingRequests;
	/** Absent where requests without room are refused at once. */
	shares?: WorkspaceShares;
	/** By which ranks requests are placed. */
	urgency: Urgency;
	refuse: Refuse;
};
