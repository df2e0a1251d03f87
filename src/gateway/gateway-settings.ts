/** The settings of a gateway process, and the times that follow from them. */

import {type Regions} from '../decision/routing/allowed-regions.js';

/** Bounds that the deployment sets; all in milliseconds except the ratio. */
export type GatewayBounds = {
	/** Within this time a configuration change is in force at every instance that reaches the store. */
	configurationMilliseconds: number;
	/** After this time no request runs with a revoked key, even where the store is unreachable. */
	revocationMilliseconds: number;
	/** After this time an endpoint that leaves gets no new requests. */
	drainMilliseconds: number;
	/** From the signal to stop to the exit of the process. */
	graceMilliseconds: number;
	retryRatio: number;
	retryWindowMilliseconds: number;
	/** The holder of a lease that has not renewed it for this long may be replaced. */
	leaseMilliseconds: number;
	/** Within this time every engine runs newly named weights. */
	weightsMilliseconds: number;
	/** How often an endpoint renews its row in the store. */
	heartbeatMilliseconds: number;
	/** Within this time an instance that reaches the store knows what another one has reported. */
	contactMilliseconds: number;
	/** By this factor, and this number beyond it, endpoints may get more requests a second while they warm up than declared. */
	warmUpRatio: number;
	warmUpExtra: number;
};

/**
 * Which requests wait for room.
 *
 * - `calls`: calls of plain services, whose endpoints are all alike.
 * - `all`: prompts too. Engines differ in what they have cached, and urgent prompts are late more often where others wait.
 */
export type WaitingScope = 'none' | 'calls' | 'all';

/** By which declared ranks requests are placed; see `src/decision/urgency`. */
export type UrgencyOrder = 'workspace' | 'workspace-and-route';

export type GatewaySettings = {
	instance: string;
	dataCentre: string;
	/** `IP:port` for callers. */
	listenCallers: string;
	/** `IP:port` where the load balancer checks whether this instance is ready. */
	listenReady: string;
	/** Path of the readiness check. */
	readyPath: string;
	/** `IP:port` where other instances connect to the coordinator. */
	listenPeers: string;
	/** `IP:port` where they connect to the standby coordinator. */
	listenStandby: string;
	/** `IP:port` where other instances have connections to endpoints relayed. */
	listenRelay: string;
	/** `IP:port` where other instances send and find the origins of streams. */
	listenStreams: string;
	/** `IP:port` of the metrics. */
	listenMetrics: string;
	storeAddress: string;
	/** CPU cores available to this process; may be a fraction. */
	cores: number;
	/** The memory limit of this process, where what it holds for its callers is to be limited. */
	memoryBytes?: number;
	/** The descriptors that this process may have. */
	maxDescriptors: number;
	regions: Regions;
	/** Whether the rank of a workspace replaces that of a route, or requests of workspaces of one rank keep the order of their routes. */
	urgency: UrgencyOrder;
	/** Whether an endpoint with an idle connection is preferred among those that would serve a request equally well. */
	idleConnections: 'ignored' | 'preferred';
	/** Which requests wait for room where no endpoint has any; all others are refused at once. */
	waiting: WaitingScope;
	bounds: GatewayBounds;
};

/** Times that follow from the bounds. */
export type GatewayTimings = {
	/** How long a call to the feed may wait for changes. */
	feedWaitMilliseconds: number;
	/** The same for the reader, the instance that calls the store for the others. */
	readerWaitMilliseconds: number;
	/** An instance makes no calls to the feed as long as the reader's latest confirmation is no older than this. */
	maxRelayedAgeMilliseconds: number;
	/** Both for the table of what instances report to each other. */
	readerReportWaitMilliseconds: number;
	maxRelayedReportAgeMilliseconds: number;
	/** Beyond this age of the configuration, a route or key that is missing from it is not reported as unknown. */
	freshMilliseconds: number;
	/** Beyond this age, no key is accepted. */
	keyLeaseMilliseconds: number;
};

/**
 * Share of the revocation bound that a feed call waits. A lost call is noticed only after one wait, and the next call has to
 * be answered before the lease expires, so two waits and a call must fit into the bound.
 */
const feedWaitShare = 0.4;
/** A feed call waits no longer than this: a connection that fails unnoticed hides leaving endpoints for this long. */
const maxFeedWaitMilliseconds = 2000;
/**
 * Maximum age of relayed confirmations, as a share of the smaller of the bounds on configuration changes and on leaving
 * endpoints. Beyond it each instance calls the store itself after a random delay, and is answered within the rest.
 */
const relayedAgeShare = 0.6;
/** Share of that age that a call of the reader may wait; the relaying and the interval of queries take up the rest. */
const readerWaitShare = 0.3;
/**
 * Share of the contact time after which an instance without relayed reports reads them itself; the rest is for the random
 * delay and that call.
 */
const relayedReportAgeShare = 0.7;
/**
 * Share of the contact time that a call of the reader for reports may wait. New ones end it, so the wait delays only the
 * confirmation that there are none; the relaying, the interval of queries and a slow store take up the rest of its validity.
 */
const readerReportWaitShare = 0.3;
/** Time between the check of a lease and the sending of the request, on a slow instance with a late timer. */
const keyLeaseMarginMilliseconds = 150;
/** Feed waits for which a configuration is fresh after the last answered call: one for the next call, the rest for lateness. */
const freshWaits = 1.5;

/**
 * Computes the times that follow from the bounds.
 *
 * @param bounds - The deployment's bounds.
 * @returns The times in milliseconds.
 */
export function timingsOf(bounds: GatewayBounds): GatewayTimings {
	const feedWaitMilliseconds = Math.min(maxFeedWaitMilliseconds, Math.round(feedWaitShare * bounds.revocationMilliseconds));
	const maxRelayedAgeMilliseconds = Math.round(relayedAgeShare * Math.min(bounds.configurationMilliseconds, bounds.drainMilliseconds));
	return {
		feedWaitMilliseconds,
		readerWaitMilliseconds: Math.round(readerWaitShare * maxRelayedAgeMilliseconds),
		maxRelayedAgeMilliseconds,
		readerReportWaitMilliseconds: Math.round(readerReportWaitShare * bounds.contactMilliseconds),
		maxRelayedReportAgeMilliseconds: Math.round(relayedReportAgeShare * bounds.contactMilliseconds),
		freshMilliseconds: freshWaits * feedWaitMilliseconds,
		keyLeaseMilliseconds: bounds.revocationMilliseconds - keyLeaseMarginMilliseconds,
	};
}
