/**
 * Checks whether the head of an endpoint's answer can be forwarded to a caller.
 *
 * Node's parser accepts heads that Node refuses to write: a status below 100, or control characters or DEL in the reason
 * phrase or in a header. It throws an exception in a listener of the body, where nothing catches it, so that one such answer
 * would end the process with all of its requests. A head that passes this check contains only what Node writes.
 */
import {type EndpointAnswer} from './endpoint-exchange.js';

const minStatus = 200;
const maxStatus = 599;
/** The bytes allowed in a reason phrase or header value, each as one character, by RFC 9112 and RFC 9110. */
const fieldBytes = /^[\t\u0020-\u007E\u0080-\u00FF]*$/v;

/**
 * Checks whether a head can be forwarded.
 *
 * @param answer - The head of a final answer; interim answers are handled earlier, so a status below 200 is invalid.
 * @returns False if the answer must not be forwarded; it then proves nothing about the request.
 */
export function isForwardableHead({status, statusText, rawHeaders}: Pick<EndpointAnswer, 'status' | 'statusText' | 'rawHeaders'>): boolean {
	return status >= minStatus && status <= maxStatus && [statusText, ...rawHeaders].every(text => fieldBytes.test(text));
}
