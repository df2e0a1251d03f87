/** The zod schema of a declaration file. Unknown keys are rejected, so that a misspelt key is reported and not ignored. */
import {z} from 'zod';

const maxNameCharacters = 63;
const maxListedNameCharacters = 253;
const maxTextCharacters = 1000;
const maxShare = 1000;
const maxDeadlineMilliseconds = 86_400_000;

const name = z.string().regex(/^[a-z0-9][a-z0-9._\-]*$/v, 'must be lower-case letters, digits, ".", "_" or "-"').max(maxNameCharacters);
const priority = z.enum(['urgent', 'normal', 'overnight']);
const keyDigest = z.string().regex(/^[0-9a-f]{64}$/v, 'must be a SHA-256 digest in hexadecimal; give the digest, never the key');

/** A workspace with the digests of its keys, its priority and the services that it may use. */
export const workspaceSchema = z.strictObject({
	name,
	keyDigests: z.array(keyDigest).min(1),
	priority: priority.default('normal'),
	share: z.number().positive().max(maxShare).default(1),
	services: z.array(name).min(1),
});

const atMostOnceRule = z.strictObject({
	method: z.enum(['POST', 'PUT', 'PATCH', 'DELETE']),
	path: z.string().startsWith('/'),
});

const common = {
	name,
	fencing: z.enum(['checked', 'ignored']).default('ignored'),
	paused: z.boolean().default(false),
};

/** A service: either a model or a plain service. */
export const serviceSchema = z.discriminatedUnion('kind', [
	z.strictObject({
		...common, kind: z.literal('model'), model: z.string().min(1), weightVersion: z.string().min(1),
	}),
	z.strictObject({...common, kind: z.literal('plain'), neverTwice: z.array(atMostOnceRule).default([])}),
]);

/** A routing rule. */
export const ruleSchema = z.strictObject({
	name,
	workspace: name.optional(),
	service: name.optional(),
	priority: priority.optional(),
	deadlineMilliseconds: z.number().int().positive().max(maxDeadlineMilliseconds).optional(),
	dataCentres: z.array(name).min(1).optional(),
});

/** The limits that can be declared, each named after what it bounds. */
export const knownLimits = ['open-requests', 'open-requests-per-workspace', 'claims-per-second', 'body-bytes'] as const;

/** The value of one of the known limits. */
export const limitSchema = z.strictObject({
	name: z.enum(knownLimits),
	value: z.number().int().positive(),
});

/** A drained endpoint. Files do not declare drains: operators' commands set and remove them. */
export const drainSchema = z.strictObject({
	name: z.string().min(1).max(maxListedNameCharacters),
	reason: z.string().min(1).max(maxTextCharacters),
});

/** A whole declaration file. */
export const declarationSchema = z.strictObject({
	workspaces: z.array(workspaceSchema).default([]),
	services: z.array(serviceSchema).default([]),
	rules: z.array(ruleSchema).default([]),
	limits: z.array(limitSchema).default([]),
});

/** The content of a declaration file, with the defaults filled in. */
export type Declaration = z.infer<typeof declarationSchema>;
