/** The policies that can be compared, by name. Each entry instance gets its own, with its own knowledge. */
import {type AdmissionPolicy} from '../decision/admission/admission-policy.js';
import {FairShareAdmission} from '../decision/admission/fair-share-admission.js';
import {BoundedQueueAdmission} from '../decision/admission/bounded-queue-admission.js';
import {type KeepingPolicy} from '../decision/kept/keeping-policy.js';
import {KeptPrefixes} from '../decision/kept/kept-prefixes.js';
import {NoKeeping} from '../decision/kept/no-keeping.js';
import {SaveAllKeeping} from '../decision/kept/save-all-keeping.js';
import {ExpectedFirstTokenPolicy} from '../decision/routing/expected-first-token-policy.js';
import {LeastLoadedPolicy} from '../decision/routing/least-loaded-policy.js';
import {LinkEstimate} from '../decision/routing/link-estimate.js';
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
	/** The stores' links by name, as the policies see them; none for policies that do not look. */
	links: ReadonlyMap<string, LinkEstimate>;
	/** Whether fetches for work that can wait leave a crowded link to others. */
	isPolite: boolean;
};

/** What policies are told of the instance that they stand in. */
export type EntryPlace = {index: number; dataCentre: string; stores: readonly string[]; pieceBytes: number; linkBytesPerSecond: number; instances: number};

export const policies: Readonly<Record<string, (place: EntryPlace) => EntryPolicies>> = {
	'round-robin': ({index}) => ({
		prefixes: new KeptPrefixes(), routing: new RoundRobinPolicy(index), admission: new BoundedQueueAdmission(), keeping: new NoKeeping(), isPolite: false, links: new Map(),
	}),
	'least-loaded': () => ({
		prefixes: new KeptPrefixes(), routing: new LeastLoadedPolicy(), admission: new BoundedQueueAdmission(), keeping: new NoKeeping(), isPolite: false, links: new Map(),
	}),
	sticky({stores}) {
		const prefixes = new KeptPrefixes();
		return {
			prefixes, routing: new StickyPolicy(prefixes, stores), admission: new BoundedQueueAdmission(), keeping: new SaveAllKeeping(prefixes, stores), isPolite: false, links: new Map(),
		};
	},
	chosen({dataCentre, stores, pieceBytes, linkBytesPerSecond}) {
		const prefixes = new KeptPrefixes();
		const idleMilliseconds = 1000 * pieceBytes / linkBytesPerSecond;
		const links = new Map(stores.map(name => [name, new LinkEstimate(idleMilliseconds)]));
		return {
			prefixes,
			routing: new ExpectedFirstTokenPolicy(prefixes, {dataCentre, links, pieceTokens}),
			admission: new FairShareAdmission(),
			keeping: new SaveAllKeeping(prefixes, stores),
			isPolite: true,
			links,
		};
	},
};
