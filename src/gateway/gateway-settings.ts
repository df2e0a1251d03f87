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
	/** `IP:port` of the metrics. */
	listenMetrics: string;
	storeAddress: string;
	bounds: GatewayBounds;
};

/** Times that follow from the bounds. */
export type GatewayTimings = {
	/** How long a call to the feed may wait for changes. */
	feedWaitMilliseconds: number;
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
	return {
		feedWaitMilliseconds,
		freshMilliseconds: freshWaits * feedWaitMilliseconds,
		keyLeaseMilliseconds: bounds.revocationMilliseconds - keyLeaseMarginMilliseconds,
	};
}
