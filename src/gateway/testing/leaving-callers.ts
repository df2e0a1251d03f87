/** A gateway with one endpoint that records the requests it gets, for tests with callers that leave. */
import {type RouteKind} from '../../shared/routed-configuration.js';
import {exchangeRaw, rawRequest} from '../../test/raw-http.js';
import {ownWireNames as names} from '../data-path/wire-names.js';
import {testConfiguration, testRoute} from './test-configuration.js';
import {answerSealed, TestGateway} from './test-gateway.js';

/** The kinds of route, each of which has its own rules for callers that leave. */
export const routeKinds: readonly RouteKind[] = ['idempotent', 'non-idempotent', 'stream', 'resumable-stream'];

const deadlineMilliseconds = 10_000;

/** A request on a connection that stays open after its answer. */
export function requestBytes(id: string, headers: Record<string, string> = {}): string {
	return rawRequest({
		method: 'POST', path: '/', headers: {
			...headers, host: 'quay.example', [names.attemptId]: id, [names.deadline]: String(deadlineMilliseconds),
		}, body: 'x',
	});
}

/** Starts the gateway. `seen` has the attempt ids of the requests that reached the endpoint. */
export async function startRecordingGateway(kind: RouteKind): Promise<{gateway: TestGateway; seen: string[]}> {
	const gateway = await new TestGateway(testConfiguration({routes: [testRoute({kind})]})).start();
	const seen: string[] = [];
	await gateway.addEndpoint((incoming, response) => {
		seen.push(String(incoming.headers[names.attemptId]));
		answerSealed(incoming, response);
	}, {slots: 30});
	return {gateway, seen};
}

/** Leaves an idle connection to the endpoint, to which the next request is written at once. */
export async function openEndpointConnection(gateway: TestGateway): Promise<void> {
	await exchangeRaw(gateway.address, requestBytes('first', {connection: 'close'}));
}
