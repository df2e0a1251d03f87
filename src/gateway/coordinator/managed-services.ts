/** Which stores and engines the coordinator follows, by the configuration and the list of endpoints. */
import {versionOfSalt} from '../../protocol/blocks/cache-salt.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type RoutedConfiguration, type StoreTraits} from '../../shared/routed-configuration.js';

/** The cache stores whose contents the system has to manage, with the name of their service. */
export function managedStores(configuration: RoutedConfiguration | undefined): Array<[name: string, store: StoreTraits]> {
	return [...configuration?.services.values() ?? []].flatMap(({name, store}) => store?.isManaged ? [[name, store] as [string, StoreTraits]] : []);
}

/** The engines that may receive prompts. */
export function readyEngines(configuration: RoutedConfiguration | undefined, endpoints: readonly EndpointRecord[]): EndpointRecord[] {
	return endpoints.filter(({service, state}) => state === 'ready' && configuration?.services.get(service)?.engine !== undefined);
}

/** Whether all listed engines have newer weights than a salt names; false without engines, since nothing is known then. */
export function isExpiredSalt(salt: string, endpoints: readonly EndpointRecord[]): boolean {
	const version = versionOfSalt(salt);
	const versions = endpoints.flatMap(({weightVersions}) => [...weightVersions.values()]);
	return version !== undefined && versions.length > 0 && versions.every(live => live > version);
}
