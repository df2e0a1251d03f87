/** One try of a request: what is sent, and where. */
import {type Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {type PlacementBasis, type PlacementRequest} from '../../decision/placement/placement.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type EventCutter} from './event-cutter.js';
import {type PermittedRequest} from './judge-request.js';
import {type RequestHead} from './request-head.js';

/** What is sent, and to whom the answer goes. */
export type TryWork = {
	head: RequestHead;
	permitted: PermittedRequest;
	body: Buffer;
	response: ServerResponse;
	/** For streams that may be resumed. */
	cutter: EventCutter | undefined;
	/** When the caller or the route gives up, in milliseconds of the steady clock. */
	deadline: number;
};

/** Where it is sent. */
export type TryTarget = {
	endpoint: EndpointRecord;
	request: PlacementRequest;
	/** By what it was chosen. */
	basis: PlacementBasis;
	/** Whether another endpoint may still be tried behind this one. */
	hasNext: boolean;
	/** Told when the first bytes of the answer came. */
	onFirstBytes(): void;
};
