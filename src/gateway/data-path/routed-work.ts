/** The input of one routed request. */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Moment} from '../../ports/moment-clock.js';
import {type StreamContinuation} from './stream-continuation.js';
import {type RequestHead} from './request-head.js';
import {type PermittedRequest} from './validate-request.js';

/** A permitted request with its body, and the response to write. */
export type RoutedWork = {
	head: RequestHead;
	permitted: PermittedRequest;
	/** Limits the endpoints that the request may be sent to. */
	continuation: StreamContinuation;
	body: Buffer;
	arrivedAt: Moment;
	request: IncomingMessage;
	response: ServerResponse;
};
