/**
 * The features of a request that may make its endpoints crash, as texts: its fingerprint, and the blocks of its prompt that other
 * prompts may share.
 */
import {createHash} from 'node:crypto';

const blockPrefix = 'block:';
/** Longer names of blocks are replaced by a digest, so that callers cannot make reports large. */
const maxNameLength = 32;
const digestLength = 22;

/** The feature of a prompt that contains a block. */
export function blockFeature(block: string): string {
	const name = block.length <= maxNameLength ? block : `#${createHash('sha256').update(block).digest('base64url').slice(0, digestLength)}`;
	return `${blockPrefix}${name}`;
}

/** Whether a feature is that of a block, not a fingerprint. */
export function isBlockFeature(feature: string): boolean {
	return feature.startsWith(blockPrefix);
}
