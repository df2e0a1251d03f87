/** The target size that docs/CAPACITY.md answers, and what its formulas share. */

/** The target size, and what follows from it by division alone. */
export const target = {
	daemons: 760,
	dataCentres: 8,
	daemonsPerDataCentre: 95,
	servers: 12_000,
	serversPerDataCentre: 1500,
	serversPerDaemon: 12_000 / 760,
	listedInstances: 12_760,
	requestsPerDaemon: 12_000 / 760,
	tokensPerRequest: 4_000_000 / 12_000,
	prompts: 730_000,
	piecesPerPrompt: 16,
	workspaces: 1800,
	changesPerSecond: 23_000 / 86_400,
	processorPercent: 3.8,
	memoryBytes: 32 * 1024 * 1024,
	bytesPerSecond: 4096,
	tableReads: 2000,
	/** As the budget of claims counts it. */
	tableWrites: 400,
	everywhereMilliseconds: 3000,
} as const;

/** Microseconds of processor time in a second that make one per cent of a core. */
export const microsecondsPerPercent = 10_000;

/** Changes that each daemon keeps for peers that are behind. */
export const keptChanges = 1024;

/** How long changes were made in the runs that measure what they hold. */
export const changesMeasuredSeconds = 8.5;
