/** The target size of docs/CAPACITY.md, and constants that several formulas use. */

/** The target size, and figures derived from it by division. */
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
	/** The same figure as in the budget of claims. */
	tableWrites: 400,
	everywhereMilliseconds: 3000,
} as const;

/** Microseconds of processor time a second that are one per cent of a core. */
export const microsecondsPerPercent = 10_000;

/** Number of changes that each daemon retains for peers that lag behind. */
export const maxRetainedChanges = 1024;

/** For how long changes were made in the runs that measure their memory. */
export const changesMeasuredSeconds = 8.5;
