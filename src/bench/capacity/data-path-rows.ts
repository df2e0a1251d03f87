/** The row of docs/CAPACITY.md for the data path: answers that an entry relays to callers. */
import {type CapacityRow, type Figures} from './capacity-row.js';
import {target} from './capacity-target.js';

export function dataPathRows({at, shown}: Figures): CapacityRow[] {
	return [{
		role: 'entry data path',
		quantity: 'processor',
		formula: '15.8 requests/s × (intercept + slope × 333 tokens)',
		slope: `${shown('answer.processorMilliseconds')} ms a token`,
		value: target.requestsPerDaemon * at('answer.processorMilliseconds', target.tokensPerRequest) / 10,
		bound: 100,
		unit: '% of a core',
		status: 'carried',
		mechanism: 'one loop a daemon; streams are relayed token by token, so more tokens in one write would lower the slope',
		runs: 'answer-16, answer-128, answer-333',
	}];
}
