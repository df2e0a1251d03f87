/** The scenarios of the fault runs. */
import {ClaimScenario} from './claim-scenario.js';
import {ConfigurationScenario} from './configuration-scenario.js';
import {OrderScenario} from './order-scenario.js';
import {type Scenario} from './scenario.js';
import {StreamScenario} from './stream-scenario.js';

export const scenarios: ReadonlyArray<() => Scenario> = [
	() => new ClaimScenario(),
	() => new ConfigurationScenario(),
	() => new StreamScenario(),
	() => new OrderScenario(),
];
