/** The policies that can be compared, by name. Each entry instance gets its own, with its own knowledge. */
import {type AdmissionPolicy} from '../decision/admission/admission-policy.js';
import {FairShareAdmission} from '../decision/admission/fair-share-admission.js';
import {BoundedQueueAdmission} from '../decision/admission/bounded-queue-admission.js';
import {type KeepingPolicy} from '../decision/kept/keeping-policy.js';
import {KeptPrefixes} from '../decision/kept/kept-prefixes.js';
import {NoKeeping} from '../decision/kept/no-keeping.js';
import {SaveAllKeeping} from '../decision/kept/save-all-keeping.js';
import {ExpectedFirstTokenPolicy, type RoutingSettings} from '../decision/routing/expected-first-token-policy.js';
import {LeastLoadedPolicy} from '../decision/routing/least-loaded-policy.js';
import {RoundRobinPolicy} from '../decision/routing/round-robin-policy.js';
import {type RoutingPolicy} from '../decision/routing/routing-policy.js';
import {StickyPolicy} from '../decision/routing/sticky-policy.js';
import {pieceTokens} from './simulation/fake-engine.js';

/** What one entry instance decides with. */
export type EntryPolicies = {
	prefixes: KeptPrefixes;
	routing: RoutingPolicy;
	admission: AdmissionPolicy;
	keeping: KeepingPolicy;
	/** Whether fetches for work that can wait leave a crowded link to others. */
	isPolite: boolean;
};

/** What policies are told of the instance that they stand in. */
export type EntryPlace = {index: number; dataCentre: string; stores: readonly string[]; pieceBytes: number; linkBytesPerSecond: number; instances: number};

export const policies: Readonly<Record<string, (place: EntryPlace) => EntryPolicies>> = {
	'round-robin': ({index}) => ({
		prefixes: new KeptPrefixes(), routing: new RoundRobinPolicy(index), admission: new BoundedQueueAdmission(), keeping: new NoKeeping(), isPolite: false,
	}),
	'least-loaded': () => ({
		prefixes: new KeptPrefixes(), routing: new LeastLoadedPolicy(), admission: new BoundedQueueAdmission(), keeping: new NoKeeping(), isPolite: false,
	}),
	sticky({stores}) {
		const prefixes = new KeptPrefixes();
		return {
			prefixes, routing: new StickyPolicy(prefixes, stores), admission: new BoundedQueueAdmission(), keeping: new SaveAllKeeping(prefixes, stores), isPolite: false,
		};
	},
	chosen(place) {
		const prefixes = new KeptPrefixes();
		return {
			prefixes, routing: new ExpectedFirstTokenPolicy(prefixes, routingSettingsOf(place)), admission: new FairShareAdmission(), keeping: new SaveAllKeeping(prefixes, place.stores), isPolite: true,
		};
	},
};

function routingSettingsOf({dataCentre, stores, pieceBytes, linkBytesPerSecond}: EntryPlace): RoutingSettings {
	return {
		dataCentre, stores, pieceTokens, millisecondsPerPiece: 1000 * pieceBytes / linkBytesPerSecond,
	};
}
