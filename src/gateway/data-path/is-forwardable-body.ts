/**
 * Checks whether the body of an endpoint's answer is the one that the endpoint sent, as far as its head tells.
 *
 * A transfer coding is removed by each connection, so the field that names it is not forwarded. The parser removes `chunked` only: a body
 * in any other coding would reach the caller as it is, as if it were the answer. A content coding that the caller has not asked for is as
 * strange to it; and the events of a coded stream cannot be told apart, so that it could not go on at another endpoint.
 */
import {type RouteKind} from '../../shared/routed-configuration.js';
import {acceptsContentCoding} from '../../shared/accepts-content-coding.js';
import {transferCodingOf} from '../../shared/transfer-coding-of.js';
import {type EndpointAnswer} from './endpoint-exchange.js';

/**
 * Checks whether a body can be forwarded.
 *
 * @param answer - The head of the answer.
 * @param request - The kind of the request, and the content codings that its caller accepts.
 */
export function isForwardableBody(answer: Pick<EndpointAnswer, 'header'>, {kind, acceptEncoding}: {kind: RouteKind; acceptEncoding: string | undefined}): boolean {
	return transferCodingOf(answer.header('transfer-encoding')) !== 'other'
		&& acceptsContentCoding(answer.header('content-encoding'), kind === 'resumable-stream' ? undefined : acceptEncoding);
}
