/** The components that the routed data path shares. */
import {type BlockPlanner} from '../decision/blocks/plan-blocks.js';
import {type PlacementPolicy} from '../decision/placement/placement.js';
import {type SharedRetryBudget} from '../decision/limits/shared-retry-budget.js';
import {type MomentClock} from '../ports/moment-clock.js';
import {type EventLoopLag} from '../serving/event-loop-lag.js';
import {type ConfigurationView} from './configuration/configuration-view.js';
import {type EndpointExchanges} from './data-path/endpoint-exchange.js';
import {type Refuse} from './data-path/refuse.js';
import {type WireNames} from './data-path/wire-names.js';
import {type EndpointRegistry} from './endpoints/endpoint-registry.js';
import {type DecisionLog} from './observability/decision-log.js';
import {type GatewayMetrics} from './observability/gateway-metrics.js';
import {type PeerNews} from './hub/hub-client.js';
import {type HubView} from './hub/hub-view.js';
import {type LoadingEngines} from './watchers/loading-engines.js';
import {type WeightGoals} from './weights/weight-goals.js';

export type GatewayContext = {
	dataCentre: string;
	clock: MomentClock;
	names: WireNames;
	configuration: ConfigurationView;
	endpoints: EndpointRegistry;
	placement: PlacementPolicy;
	budget: SharedRetryBudget;
	exchanges: EndpointExchanges;
	goals: WeightGoals;
	loadingEngines: LoadingEngines;
	hubView: HubView;
	peerNews: PeerNews;
	partPlanner: BlockPlanner;
	eventLoopLag: Pick<EventLoopLag, 'current'>;
	log: DecisionLog;
	metrics: GatewayMetrics;
	refuse: Refuse;
};
