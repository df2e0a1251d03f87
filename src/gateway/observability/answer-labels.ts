/** What the log and the metrics call the ways in which the body of an endpoint's answer is marked and ends. */

/**
 * How the end of a body is marked.
 *
 * - `length`: by a `content-length`.
 * - `chunked`: by the last chunk.
 * - `connection`: by nothing but the end of the connection.
 * - `none`: there is no body, by the status or the method.
 */
export type AnswerFraming = 'length' | 'chunked' | 'connection' | 'none';

/**
 * How a body ended.
 *
 * - `in-order`: where its framing says; with framing `connection`, the endpoint closed its side in order.
 * - `reset`: the connection failed.
 * - `cancelled`: the gateway gave it up, because the caller left or the time was over.
 * - `short`: the connection was closed in order before the place that the framing names.
 */
export type AnswerEnding = 'in-order' | 'reset' | 'cancelled' | 'short';
