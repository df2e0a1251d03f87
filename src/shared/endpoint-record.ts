/** One endpoint in the platform's list. */

/** `leaving`: the endpoint finishes its work and accepts no new requests. */
export type EndpointState = 'ready' | 'leaving';

/** One incarnation of an endpoint. Records with the same name and different `startedAt` are different incarnations. */
export type EndpointRecord = {
	/** Unique among all endpoints; the endpoint refuses a request that expects another name. */
	name: string;
	service: string;
	/** `IP:port`. Another service may get the address soon after the endpoint has stopped. */
	address: string;
	dataCentre: string;
	slots: number;
	state: EndpointState;
	/** The start of the incarnation, in milliseconds since the epoch; 0 where the endpoint does not report it. */
	startedAt: number;
	/** How many times this incarnation had written its row; 0 where the endpoint does not report it. */
	sequence: number;
	/** The version of the endpoint's software; empty where the endpoint does not report it, which is a version of its own. */
	softwareVersion: string;
	/** How much longer the endpoint is warming up, as of its row; 0 where it is not. */
	warmUpMilliseconds: number;
	/** The weight version by model. */
	weightVersions: ReadonlyMap<string, number>;
};

/** Returns a text that identifies an incarnation of an endpoint. */
export function incarnationOf({name, startedAt: bornAt}: EndpointRecord): string {
	return `${name}@${bornAt}`;
}
