/** What a gateway process is told at its start. */

/** Bounds that the deployment sets; all in milliseconds but the ratio. */
export type GatewayBounds = {
	/** Within it a configuration change is in force at every instance that reaches the store. */
	configurationMilliseconds: number;
	/** Behind it no request runs with a key that was taken away, also where the store is out of reach. */
	revocationMilliseconds: number;
	/** Within it an endpoint that leaves gets no new work. */
	drainMilliseconds: number;
	/** From the order to stop to the end of the process. */
	graceMilliseconds: number;
	repeatRatio: number;
	repeatWindowMilliseconds: number;
	/** A holder of orders that has said nothing for so long may be replaced. */
	leaseMilliseconds: number;
	/** Within it every engine runs newly named weights. */
	weightsMilliseconds: number;
	/** How often an endpoint renews its entry in the list. */
	heartbeatMilliseconds: number;
};

export type GatewaySettings = {
	instance: string;
	dataCentre: string;
	/** `IP:port` for callers. */
	listenCallers: string;
	/** `IP:port` where the balancer asks whether this instance is ready. */
	listenReady: string;
	/** Path of the balancer's question. */
	readyPath: string;
	/** `IP:port` where other instances connect. */
	listenPeers: string;
	/** `IP:port` where they connect to the deputy of the hub. */
	listenDeputy: string;
	/** `IP:port` of the metrics. */
	listenMetrics: string;
	storeAddress: string;
	/** Cores that the machine gives to this process; may be a fraction. */
	cores: number;
	bounds: GatewayBounds;
};

/** Times that follow from the bounds. */
export type GatewayTimings = {
	/** How long a call to the feed may wait for changes. */
	feedWaitMilliseconds: number;
	/** The same for the instance that reads for the others. */
	readerWaitMilliseconds: number;
	/** With what another instance tells, an instance goes on without calls of its own for as long as it is no older. */
	relayLapseMilliseconds: number;
	/** Beyond this age of the configuration, what it lacks is not called unknown. */
	freshMilliseconds: number;
	/** Beyond this age, no key is accepted. */
	keyLeaseMilliseconds: number;
};

/**
 * Share of the revocation bound that a feed call waits. A call that is lost is noticed behind one wait; the next then has
 * to be answered before the lease ends, so two waits and a call must fit into the bound.
 */
const feedWaitShare = 0.4;
/** A feed call waits no longer than this: silence of the connection hides endpoints that leave for as long. */
const longestFeedWaitMilliseconds = 2000;
/**
 * Share of the bounds on configuration and on endpoints that leave that the news of the instance that reads for all may be
 * old. Beyond, each reads for itself, spread over a moment, and has to be answered within the rest.
 */
const relayLapseShare = 0.6;
/** Share of that age that the waiting of one call may take; the way through the reader and the pace of questions take the rest. */
const readerWaitShare = 0.3;
/** Between a lease check and the sending of the request: a late timer and a slow instance. */
const keyLeaseMarginMilliseconds = 150;
/** Two answered calls in a row may be this late before the configuration counts as old. */
const freshWaits = 1.5;

/**
 * Works out the times that follow from the bounds.
 *
 * @param bounds - The deployment's bounds.
 * @returns The times in milliseconds.
 */
export function timingsOf(bounds: GatewayBounds): GatewayTimings {
	const feedWaitMilliseconds = Math.min(longestFeedWaitMilliseconds, Math.round(feedWaitShare * bounds.revocationMilliseconds));
	const relayLapseMilliseconds = Math.round(relayLapseShare * Math.min(bounds.configurationMilliseconds, bounds.drainMilliseconds));
	return {
		feedWaitMilliseconds,
		readerWaitMilliseconds: Math.round(readerWaitShare * relayLapseMilliseconds),
		relayLapseMilliseconds,
		freshMilliseconds: freshWaits * feedWaitMilliseconds,
		keyLeaseMilliseconds: bounds.revocationMilliseconds - keyLeaseMarginMilliseconds,
	};
}
