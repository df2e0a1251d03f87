/** The policies that can be compared, by name. Each simulated entry gets its own policies, which share no state. */
import {type AdmissionPolicy} from '../decision/admission/admission-policy.js';
import {FairShareAdmission} from '../decision/admission/fair-share-admission.js';
import {BoundedQueueAdmission} from '../decision/admission/bounded-queue-admission.js';
import {type SavePolicy} from '../decision/cache/save-policy.js';
import {CachedPrefixes} from '../decision/cache/cached-prefixes.js';
import {SaveNothingPolicy} from '../decision/cache/save-nothing-policy.js';
import {SaveAllPolicy} from '../decision/cache/save-all-policy.js';
import {ExpectedFirstTokenPolicy} from '../decision/routing/expected-first-token-policy.js';
import {LeastLoadedPolicy} from '../decision/routing/least-loaded-policy.js';
import {LinkEstimate} from '../decision/routing/link-estimate.js';
import {RoundRobinPolicy} from '../decision/routing/round-robin-policy.js';
import {type RoutingPolicy} from '../decision/routing/routing-policy.js';
import {StickyPolicy} from '../decision/routing/sticky-policy.js';
import {blockTokens} from './simulation/fake-engine.js';

/** The policies of one entry instance. */
export type EntryPolicies = {
	prefixes: CachedPrefixes;
	routing: RoutingPolicy;
	admission: AdmissionPolicy;
	saving: SavePolicy;
	/** Estimates of the stores' links by store name; empty for policies that don't use them. */
	links: ReadonlyMap<string, LinkEstimate>;
	/** Whether fetches for requests that are not urgent pause while a link is congested. */
	shouldPauseFetches: boolean;
};

/** The instance that the policies decide for, and the deployment around it. */
export type EntryContext = {index: number; dataCentre: string; stores: readonly string[]; pieceBytes: number; linkBytesPerSecond: number; instances: number};

export const policies: Readonly<Record<string, (context: EntryContext) => EntryPolicies>> = {
	'round-robin': ({index}) => ({
		prefixes: new CachedPrefixes(), routing: new RoundRobinPolicy(index), admission: new BoundedQueueAdmission(), saving: new SaveNothingPolicy(), shouldPauseFetches: false, links: new Map(),
	}),
	'least-loaded': () => ({
		prefixes: new CachedPrefixes(), routing: new LeastLoadedPolicy(), admission: new BoundedQueueAdmission(), saving: new SaveNothingPolicy(), shouldPauseFetches: false, links: new Map(),
	}),
	sticky({stores}) {
		const prefixes = new CachedPrefixes();
		return {
			prefixes, routing: new StickyPolicy(prefixes, stores), admission: new BoundedQueueAdmission(), saving: new SaveAllPolicy(prefixes, stores), shouldPauseFetches: false, links: new Map(),
		};
	},
	chosen({dataCentre, stores, pieceBytes, linkBytesPerSecond}) {
		const prefixes = new CachedPrefixes();
		const idleMilliseconds = 1000 * pieceBytes / linkBytesPerSecond;
		const links = new Map(stores.map(name => [name, new LinkEstimate(idleMilliseconds)]));
		return {
			prefixes,
			routing: new ExpectedFirstTokenPolicy(prefixes, {dataCentre, links, blockTokens}),
			admission: new FairShareAdmission(),
			saving: new SaveAllPolicy(prefixes, stores),
			shouldPauseFetches: true,
			links,
		};
	},
};
