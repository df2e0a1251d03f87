/** The format of a workload file: a deployment with its sizes, and the classes of requests with their rates. */
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
	/** Number of reusable contexts for each unit of workspace weight; 0 for prompts without one. */
	contextsPerWeight: z.number().nonnegative(),
	contextTokens: z.tuple([z.number(), z.number()]),
	questionTokens: z.tuple([z.number(), z.number()]),
	outputTokens: z.tuple([z.number(), z.number()]),
	/** Exponent of the contexts' popularity (Zipf); 0 makes all contexts equally popular. */
	skew: z.number().nonnegative(),
	/** Name of the class whose contexts this class uses; its own when absent. */
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
	/** Share of the contexts that were used hours before the run, so that a policy which saves blocks has them in a store. */
	usedBeforeShare: z.number().min(0).max(1),
	loadReport: z.object({everyMilliseconds: z.number(), lagMilliseconds: z.number()}),
	cacheEvents: z.object({lagMilliseconds: z.number(), lostShare: z.number()}),
	services: z.array(serviceSchema),
	stores: storeSchema,
	workspaces: z.array(z.object({name: z.string(), weight: z.number().positive(), share: z.number().positive()})),
	classes: z.array(classSchema),
});

/** The content of a workload file. */
export type Workload = z.infer<typeof workloadSchema>;
/** One class of requests in a workload. */
export type WorkloadClass = z.infer<typeof classSchema>;
