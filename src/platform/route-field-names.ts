/** The platform's names of fields of the configuration that a check sets. */
export const platformRouteFieldNames = {
	connectionLimit: 'max_conns',
	needsNoKey: 'no_auth',
	weightedTargets: 'traffic_split',
} as const;
