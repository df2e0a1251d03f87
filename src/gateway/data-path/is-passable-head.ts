/**
 * Whether the head of an endpoint's answer can be written to a caller.
 *
 * Node's parser lets heads through that Node refuses to write: a status below 100, control characters or DEL in the reason
 * or in a header. The refusal is an exception. It would be thrown in a listener of the body, where nothing waits for it,
 * and one such answer would end the process with all of its requests. A head that passes here holds only what Node writes.
 */
import {type EndpointAnswer} from './endpoint-exchange.js';

const leastStatus = 200;
const mostStatus = 599;
/** The bytes of a reason or a header's value, each as one character, by RFC 9112 and RFC 9110. */
const fieldBytes = /^[\t\u0020-\u007E\u0080-\u00FF]*$/v;

/**
 * Whether a head can be passed on.
 *
 * @param answer - The head; interim answers do not come here, so a status below 200 is none that ends a request.
 * @returns False if the answer proves nothing and must not be passed on.
 */
export function isPassableHead({status, statusText, rawHeaders}: Pick<EndpointAnswer, 'status' | 'statusText' | 'rawHeaders'>): boolean {
	return status >= leastStatus && status <= mostStatus && [statusText, ...rawHeaders].every(text => fieldBytes.test(text));
}
