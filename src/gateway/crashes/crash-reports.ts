/** What instances report to each other about crashes of endpoints. */

/** The requests that one instance lost in one crash. */
export type CrashReport = {
	kind: 'crash';
	/** Identifies the incarnation of the endpoint that ended. */
	incarnation: string;
	/** Who reports it. */
	instance: string;
	/** When it was found, in milliseconds since the epoch. */
	at: number;
	/** By fingerprint: how long each request had been in flight, in milliseconds. */
	requests: Array<[fingerprint: string, inFlightMilliseconds: number]>;
	/** Those of them that carried prompts with blocks that may be to blame. */
	prompts?: PromptAtCrash[];
};

/** A prompt that an endpoint may have crashed on. */
export type PromptAtCrash = {
	fingerprint: string;
	workspace: string;
	/** Whether the endpoint had begun to write the answer. */
	hasBegun: boolean;
	/** Whether some of the body of the answer had arrived. */
	isAnswering?: boolean;
	/** Blocks that other prompts may share, as features; some are left out where there are many. */
	blocks: string[];
};

/** Features of requests that were present at crashes, and that one instance has seen answered completely. */
export type SurvivalReport = {
	kind: 'survival';
	instance: string;
	at: number;
	/** The crashes that each was known to have been present at, by their incarnations. */
	requests: Array<[feature: string, incarnations: string[]]>;
};

/** One instance sends one blocked request, to find out whether endpoints still crash on it. */
export type TrialReport = {
	kind: 'trial';
	instance: string;
	at: number;
	/** Those of the block. */
	features: string[];
};

export type Report = CrashReport | SurvivalReport | TrialReport;
