import {type EndpointSearch} from '../data-path/endpoint-search.js';
import {type RoutedWork} from '../data-path/routed-work.js';

/** What the search for an endpoint with room needs to know of a request. */
export type RoomSearchInputs = {
	work: Pick<RoutedWork, 'head' | 'permitted' | 'continuation' | 'body' | 'arrivedAt'>;
	search: EndpointSearch;
	/** When the caller or the route times out, in milliseconds of the steady clock. */
	deadline: number;
	/** Aborts when the caller disconnects or the deadline passes. */
	signal: AbortSignal;
};
