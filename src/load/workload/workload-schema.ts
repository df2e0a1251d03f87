/** The format of a workload file: a deployment with its sizes, and who asks for what how often. */
import {z} from 'zod';

const engineSchema = z.object({
	prefillTokensPerSecond: z.number().positive(),
	chunkTokens: z.number().int().positive(),
	stepMilliseconds: z.number().positive(),
	batchLimit: z.number().int().positive(),
	cachePieces: z.number().int().positive(),
});

const serviceSchema = z.object({name: z.string(), engines: z.number().int().positive(), engine: engineSchema});

const storeSchema = z.object({
	count: z.number().int().nonnegative(),
	memoryPieces: z.number().int().positive(),
	diskPieces: z.number().int().positive(),
	pieceBytes: z.number().positive(),
	linkBytesPerSecond: z.number().positive(),
	diskBytesPerSecond: z.number().positive(),
});

const classSchema = z.object({
	name: z.string(),
	service: z.string(),
	priority: z.enum(['urgent', 'normal', 'overnight']),
	requestsPerSecond: z.number().nonnegative(),
	deadlineMilliseconds: z.number().positive(),
	/** How many kept contexts each unit of workspace weight has; 0 for prompts without one. */
	contextsPerWeight: z.number().nonnegative(),
	contextTokens: z.tuple([z.number(), z.number()]),
	questionTokens: z.tuple([z.number(), z.number()]),
	outputTokens: z.tuple([z.number(), z.number()]),
	/** How unevenly the contexts are asked for; 0 is even. */
	skew: z.number().nonnegative(),
	/** Contexts are shared with the class of this name. */
	contextsOf: z.string().optional(),
});

export const workloadSchema = z.object({
	name: z.string(),
	seconds: z.number().positive(),
	warmUpSeconds: z.number().nonnegative(),
	entries: z.number().int().positive(),
	dataCentres: z.number().int().positive(),
	betweenDataCentresMilliseconds: z.number(),
	clientMilliseconds: z.number(),
	/** Share of the kept contexts that were used hours before the run, so that a policy which saves has them in a store. */
	usedBeforeShare: z.number().min(0).max(1),
	loadReport: z.object({everyMilliseconds: z.number(), lagMilliseconds: z.number()}),
	cacheEvents: z.object({lagMilliseconds: z.number(), lostShare: z.number()}),
	services: z.array(serviceSchema),
	stores: storeSchema,
	workspaces: z.array(z.object({name: z.string(), weight: z.number().positive(), share: z.number().positive()})),
	classes: z.array(classSchema),
});

/** A workload as its file gives it. */
export type Workload = z.infer<typeof workloadSchema>;
/** One kind of request in a workload. */
export type WorkloadClass = z.infer<typeof classSchema>;
