/** The deployment of the checks of crashing requests and of limits: six instances and six endpoints in three data centres. */
import {DeploymentEndpoint, type EndpointScript} from './deployment-endpoint.js';
import {GatewayDeployment, host} from './gateway-deployment.js';

const dataCentres = 3;
const instancesPerDataCentre = 2;
const endpointsPerDataCentre = 2;
const service = 'desk';
const defaultSlots = 16;
const route = {
	host, kind: 'stream', timeout_ms: 4000, target_latency_ms: 600, gap_aim_ms: 800, service,
};

/** The paths of its routes: a stream that is sent once, one that may be resumed, and an idempotent call. */
export const deskPaths = ['/once/', '/resumable/', '/lookup/'] as const;

/**
 * Returns the deployment, which is not started yet.
 *
 * @param network - Second byte of its loopback addresses.
 * @param environmentOf - Environment variables of an instance's process.
 * @param serviceFields - What the service declares of its endpoints.
 */
export function deskDeployment(network: number, environmentOf: (instance: string) => Record<string, string> = () => ({}), serviceFields: Record<string, number> = {}): GatewayDeployment {
	return new GatewayDeployment({
		environmentOf,
		network,
		dataCentres,
		instancesPerDataCentre,
		routes: [
			{
				...route, name: 'once', prefix: '/once/', max_attempts: 1,
			},
			{
				...route, name: 'resumable', prefix: '/resumable/', resumable: true, max_attempts: 3,
			},
			{
				...route, name: 'lookup', prefix: '/lookup/', kind: 'idempotent', max_attempts: 3,
			},
		],
		services: [{name: service, ...serviceFields}],
	});
}

/** What a check may set of the desk's endpoints. */
export type DeskOptions = {
	slots?: number;
	/** The software version of each endpoint, counted from 0. */
	versionOf?: (index: number) => string;
	warmUpMilliseconds?: number;
};

/** Starts the endpoints, and then the instances. */
export async function startDesk(deployment: GatewayDeployment, script: EndpointScript, {slots = defaultSlots, versionOf = () => 'v1', warmUpMilliseconds = 0}: DeskOptions = {}): Promise<DeploymentEndpoint[]> {
	const endpoints = deployment.dataCentres.flatMap((dataCentre, index) => Array.from({length: endpointsPerDataCentre}, (_, number) => {
		const address = deployment.endpointAddress(index + 1, number + 1);
		return new DeploymentEndpoint(deployment, {
			dataCentre, address, service, slots, warmUpMilliseconds, version: versionOf((index * endpointsPerDataCentre) + number),
		}, script);
	}));
	await Promise.all(endpoints.map(async endpoint => endpoint.start()));
	await deployment.start();
	return endpoints;
}
