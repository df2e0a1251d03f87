/** The port to the control calls of an engine whose weights the system changes. */
import {type Either} from 'purify-ts/Either';
import {type EndpointRecord} from '../shared/endpoint-record.js';

/** What an engine says of itself; some hundred milliseconds old. */
export type EngineReport = {
	/** Whether an order is being carried out. */
	isBusy: boolean;
	/** Orders accepted since the engine's start. */
	ordersTaken: number;
	weightVersions: ReadonlyMap<string, number>;
	runningRequests: number;
};

/**
 * What becomes of runs under way when weights change: `finish` lets them end first, `cut` resets their streams, `keep`
 * goes on with them under the new weights.
 */
export type RunTreatment = 'finish' | 'cut' | 'keep';

/** An order to load weights. */
export type WeightOrder = {
	model: string;
	version: number;
	treatment: RunTreatment;
	/** The instance that gives it, and the number of its duty. */
	holder: string;
	fencingNumber: number;
	/** The order is void if the engine has accepted another number of orders when it is carried out. */
	ordersTaken: number;
};

/** How an order was answered; `unknown` means that it may still be carried out. */
export type OrderAnswer = 'accepted' | 'holds-already' | 'refused' | 'unknown';

export interface EngineControl {
	/** Reads an engine's report; a `Left` says why there is none. */
	report(endpoint: EndpointRecord): Promise<Either<string, EngineReport>>;
	orderWeights(endpoint: EndpointRecord, order: WeightOrder): Promise<OrderAnswer>;
}
