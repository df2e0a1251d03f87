/** The platform's names of fields of a route that a check sets. */
export const platformRouteFieldNames = {
	needsNoKey: 'no_auth',
	weightedTargets: 'traffic_split',
} as const;
