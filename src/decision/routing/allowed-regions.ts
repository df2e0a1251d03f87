/** Which regions may process a request: the route and the caller's workspace may each restrict them, and both restrictions bind. */

/** The data centres of the deployment and their regions. */
export type Regions = {
	/** The region of this instance. */
	own: string;
	/** Region by data centre. */
	byDataCentre: ReadonlyMap<string, string>;
};

/** The restrictions of a request; an absent or empty list allows every region. */
export type RegionRestrictions = {
	route: {allowedRegions?: readonly string[]};
	grant: {allowedRegions?: readonly string[]} | undefined;
};

/** Whether a request may be processed in a region. A restricted request must not be processed where the region is not known. */
export function isRegionAllowed({route, grant}: RegionRestrictions, region: string | undefined): boolean {
	return isListed(route.allowedRegions, region) && isListed(grant?.allowedRegions, region);
}

/** Whether a request, and what engines have cached of its prompt, may be sent to a data centre. */
export function isDataCentreAllowed(restrictions: RegionRestrictions, regions: Regions, dataCentre: string): boolean {
	return isRegionAllowed(restrictions, regions.byDataCentre.get(dataCentre));
}

/** Whether an instance may relay a request: in the region of the instance to which the caller has connected, too. */
export function isRelayAllowed(restrictions: RegionRestrictions, regions: Regions, dataCentre: string): boolean {
	return regions.byDataCentre.get(dataCentre) === regions.own || isDataCentreAllowed(restrictions, regions, dataCentre);
}

function isListed(allowed: readonly string[] | undefined, region: string | undefined): boolean {
	return allowed === undefined || allowed.length === 0 || (region !== undefined && allowed.includes(region));
}
