/** The components that the routed data path shares. */
import {type BlockPlanner} from '../decision/blocks/plan-blocks.js';
import {type PlacementPolicy} from '../decision/placement/placement.js';
import {type SharedRetryBudget} from '../decision/limits/shared-retry-budget.js';
import {type MomentClock} from '../ports/moment-clock.js';
import {type EventLoopLag} from '../serving/event-loop-lag.js';
import {type ConfigurationView} from './configuration/configuration-view.js';
import {type EndpointCrashes} from './crashes/endpoint-crashes.js';
import {type EndpointExchanges} from './data-path/endpoint-exchange.js';
import {type Refuse} from './data-path/refuse.js';
import {type WireNames} from './data-path/wire-names.js';
import {type EndpointRegistry} from './endpoints/endpoint-registry.js';
import {type DecisionLog} from './observability/decision-log.js';
import {type GatewayMetrics} from './observability/gateway-metrics.js';
import {type PeerUpdates} from './coordinator/coordinator-client.js';
import {type CoordinatorView} from './coordinator/coordinator-view.js';
import {type LoadingEngines} from './watchers/loading-engines.js';
import {type WeightTargets} from './weights/weight-targets.js';

export type GatewayContext = {
	dataCentre: string;
	clock: MomentClock;
	names: WireNames;
	configuration: ConfigurationView;
	endpoints: EndpointRegistry;
	placement: PlacementPolicy;
	retryBudget: SharedRetryBudget;
	crashes: EndpointCrashes;
	exchanges: EndpointExchanges;
	weightTargets: WeightTargets;
	loadingEngines: LoadingEngines;
	coordinatorView: CoordinatorView;
	peerUpdates: PeerUpdates;
	blockPlanner: BlockPlanner;
	eventLoopLag: Pick<EventLoopLag, 'current'>;
	log: DecisionLog;
	metrics: GatewayMetrics;
	refuse: Refuse;
};
