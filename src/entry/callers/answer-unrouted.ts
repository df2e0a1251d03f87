import {type NodeExchange} from '../../shared/node-route.js';
import {sendRefusal} from '../../serving/send-refusal.js';

/** The methods that each path allows; a path under `/services/` allows any. */
const methodsOfPath: ReadonlyMap<string, string> = new Map([
	['/healthz', 'GET, HEAD, OPTIONS'],
	['/readyz', 'GET, HEAD, OPTIONS'],
	['/v1/models', 'GET, HEAD, OPTIONS'],
	['/v1/chat/completions', 'POST, OPTIONS'],
	['/v1/completions', 'POST, OPTIONS'],
]);

/**
 * Answers a request that matches no route: `OPTIONS`, a known path with another method, or an unknown path.
 *
 * @param exchange - The exchange.
 */
export function answerUnrouted({request, response}: NodeExchange): void {
	const [path = ''] = (request.url ?? '').split('?');
	const allow = methodsOfPath.get(path);
	if (allow === undefined) {
		sendRefusal(response, {reason: 'not-found', ran: 'not-run', message: 'there is nothing at this path'});
		return;
	}

	if (request.method === 'OPTIONS') {
		response.writeHead(204, {allow}).end();
		return;
	}

	sendRefusal(response, {reason: 'bad-request', ran: 'not-run', message: `this path takes ${allow}`}, {status: 405, headers: {allow}});
}
