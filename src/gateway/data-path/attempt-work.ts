/** The input of one attempt: the request to send, and the endpoint to send it to. */
import {type Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {type PlacementBasis, type PlacementRequest} from '../../decision/placement/placement.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type EventSplitter} from './event-splitter.js';
import {type PermittedRequest} from './validate-request.js';
import {type RequestHead} from './request-head.js';

/** The request to send, and the response that its answer is written to. */
export type AttemptWork = {
	head: RequestHead;
	permitted: PermittedRequest;
	body: Buffer;
	response: ServerResponse;
	/** Present for streams that may be resumed. */
	splitter: EventSplitter | undefined;
	/** When the caller or the route times out, in milliseconds of the steady clock. */
	deadline: number;
};

/** The endpoint to send it to, and how that was chosen. */
export type AttemptTarget = {
	endpoint: EndpointRecord;
	request: PlacementRequest;
	/** The estimates by which the endpoint was chosen. */
	basis: PlacementBasis;
	/** Called when the first bytes of the answer arrive, before they are forwarded. */
	onFirstBytes(status: number): void;
	/** Called for each chunk of the answer. */
	onBytes(): void;
	/** Called again and again while the endpoint is silent for longer than usual. */
	onSilent(): void;
	/** Called when the head of a usable answer has arrived; returns whether it may be relayed. */
	mayRelay(): boolean;
};
