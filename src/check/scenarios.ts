/** All scenarios of the fault runs. */
import {ClaimScenario} from './claim-scenario.js';
import {type Scenario} from './scenario.js';

export const scenarios: ReadonlyArray<() => Scenario> = [
	() => new ClaimScenario(),
];
