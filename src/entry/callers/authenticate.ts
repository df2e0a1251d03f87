import {Buffer} from 'node:buffer';
import {timingSafeEqual} from 'node:crypto';
import {type Either, Left, Right} from 'purify-ts/Either';
import {type ConfigurationState} from '../../protocol/configuration/configuration-state.js';
import {digestOf} from '../../shared/digest-of.js';
import {type Refusal, type WorkspaceItem} from '../../shared/types.js';

const bearerPattern = /^Bearer (?<key>\S+)$/v;

type KnownKey = {digest: Buffer; workspace: WorkspaceItem};
type KeyIndex = ReadonlyMap<string, KnownKey>;

/** One index for each set of workspaces; it is garbage collected with the set. */
const indexes = new WeakMap<ConfigurationState['workspaces'], KeyIndex>();

/**
 * Finds the workspace of a bearer key.
 *
 * The configuration holds only digests, so a copy of it reveals no key. The index is searched for the digest of the key
 * that the caller sent. The duration of the search depends on that digest, which a caller cannot bring close to a known
 * one, and the final comparison takes constant time, so the timing of a refusal reveals no key either.
 *
 * @param configuration - The configuration in force.
 * @param authorization - The `Authorization` header.
 * @returns The workspace, or the refusal.
 */
export function authenticate(configuration: ConfigurationState, authorization: string | undefined): Either<Refusal, WorkspaceItem> {
	const key = bearerPattern.exec(authorization ?? '')?.groups?.key;
	if (key === undefined) {
		return Left({reason: 'unauthorized', ran: 'not-run', message: 'a bearer key is needed'});
	}

	const digest = digestOf(key);
	const known = indexOf(configuration.workspaces).get(digest);
	return known !== undefined && timingSafeEqual(known.digest, Buffer.from(digest))
		? Right(known.workspace)
		: Left({reason: 'unauthorized', ran: 'not-run', message: 'the bearer key is not known'});
}

function indexOf(workspaces: ConfigurationState['workspaces']): KeyIndex {
	const known = indexes.get(workspaces);
	if (known !== undefined) {
		return known;
	}

	const index = new Map([...workspaces.values()].flatMap(workspace =>
		workspace.keyDigests.map((digest): [string, KnownKey] => [digest, {digest: Buffer.from(digest), workspace}])));
	indexes.set(workspaces, index);
	return index;
}
