/** The port to the control calls of a model engine, by which its weights are changed. */
import {type Either} from 'purify-ts/Either';
import {type EndpointRecord} from '../shared/endpoint-record.js';

/** An engine's report of its own state; it may be some hundred milliseconds old. */
export type EngineReport = {
	/** Whether an order is being carried out. */
	isBusy: boolean;
	/** The number of orders accepted since the engine's start. */
	ordersTaken: number;
	weightVersions: ReadonlyMap<string, number>;
	runningRequests: number;
};

/**
 * How requests in flight are treated when weights change: `finish` completes them first, `cut` resets their streams, `keep`
 * continues them with the new weights.
 */
export type InFlightPolicy = 'finish' | 'cut' | 'keep';

/** An order to load weights. */
export type WeightOrder = {
	model: string;
	version: number;
	inFlightPolicy: InFlightPolicy;
	/** The instance that gives the order, and the fencing number of its leader lease. */
	holder: string;
	fencingNumber: number;
	/** The order is void if the engine has accepted another number of orders by the time it would carry this one out. */
	ordersTaken: number;
};

/** The engine's answer to an order. `unknown`: the order may still be carried out. */
export type OrderAnswer = 'accepted' | 'holds-already' | 'refused' | 'unknown';

export interface EngineControl {
	/** Reads an engine's report; a `Left` is the reason why there is none. */
	report(endpoint: EndpointRecord): Promise<Either<string, EngineReport>>;
	orderWeights(endpoint: EndpointRecord, order: WeightOrder): Promise<OrderAnswer>;
}
