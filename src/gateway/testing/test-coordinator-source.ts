import {type CoordinatorSource} from '../coordinator/coordinator-server.js';

/** A coordinator under its lease that knows no stores, engines and tables. */
export const testCoordinatorSource: CoordinatorSource = {
	isStandby: false,
	dataCentre: 'split',
	holdsLease: () => true,
	isServing: () => true,
	permitTerm: () => 1,
	slotTerm: () => 1,
	engineClock: () => undefined,
	openStores: () => [],
	locateBlocks: () => ({kept: [], engines: [], unknown: []}),
	tableUpdates: () => [],
	cores: 1,
	recordPermit() {
		// The line is written by the coordinator.
	},
	recordDropped() {
		// The line is written by the coordinator.
	},
	recordFault() {
		// The line is written by the coordinator.
	},
	recordUses() {
		// No stores in this test.
	},
};
