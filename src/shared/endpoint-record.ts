/** What the platform's list says of one endpoint. */

/** `leaving` still finishes its work and takes no new one. */
export type EndpointState = 'ready' | 'leaving';

/** One incarnation of an endpoint. Two records with the same name but another `bornAt` are two incarnations. */
export type EndpointRecord = {
	/** Unique over all endpoints; the endpoint refuses a request that expects another name. */
	name: string;
	service: string;
	/** `IP:port`. Another service may get it soon after the endpoint has ended. */
	address: string;
	dataCentre: string;
	slots: number;
	state: EndpointState;
	/** Start of the incarnation, in milliseconds since the epoch; 0 where the endpoint does not say. */
	bornAt: number;
	/** The version of the weights of each model. */
	weightVersions: ReadonlyMap<string, number>;
};

/** Tells one incarnation of an endpoint from the next. */
export function incarnationOf({name, bornAt}: EndpointRecord): string {
	return `${name}@${bornAt}`;
}
