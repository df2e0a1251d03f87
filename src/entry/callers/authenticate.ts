import {Buffer} from 'node:buffer';
import {timingSafeEqual} from 'node:crypto';
import {type Either, Left, Right} from 'purify-ts/Either';
import {type ConfigurationState} from '../../protocol/configuration/configuration-state.js';
import {digestOf} from '../../shared/digest-of.js';
import {type Refusal, type WorkspaceItem} from '../../shared/types.js';

const bearerPattern = /^Bearer (?<key>\S+)$/v;

/**
 * Finds the workspace of a bearer key.
 *
 * Only digests are kept and compared, in constant time, so that neither a copy of the configuration nor the time of a
 * refusal tells a key.
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

	const digest = Buffer.from(digestOf(key));
	let found: WorkspaceItem | undefined;
	for (const workspace of configuration.workspaces.values()) {
		for (const known of workspace.keyDigests) {
			if (timingSafeEqual(Buffer.from(known), digest)) {
				found = workspace;
			}
		}
	}

	return found === undefined
		? Left({reason: 'unauthorized', ran: 'not-run', message: 'the bearer key is not known'})
		: Right(found);
}
