/** What instances say to each other. Everything here is a hint but for configuration changes, which prove themselves. */
import {type ConfigurationChange, type ConfigurationItem} from '../../shared/types.js';

/** The oldest and the newest version of this protocol that this release speaks. */
export const spokenVersions: VersionRange = {least: 1, newest: 1};

/** A range of protocol versions, both ends included. */
export type VersionRange = {
	least: number;
	newest: number;
};

/** How a member stands: `left` is a graceful end, which a later word of the same start cannot take back. */
export type MemberStatus = 'alive' | 'suspect' | 'gone' | 'left';

/** A change of membership. A higher incarnation goes before a lower one; at the same one, the later status wins. */
export type MemberRumour = {
	name: string;
	dataCentre: string;
	peerAddress: string;
	/** Starts as the time of the process start and grows when the member contradicts its own death. */
	incarnation: number;
	status: Exclude<MemberStatus, 'suspect'>;
};

/** A summary of an endpoint's load, small enough to be sent each second. */
export type LoadSummary = {
	/** Hash of the endpoint's name. */
	endpoint: number;
	state: 'live' | 'loading' | 'leaving';
	model: string;
	weightVersion: string;
	running: number;
	waiting: number;
	waitingPrefillTokens: number;
	prefillRate: number;
	decodeRate: number;
	batchLimit: number;
	kvUsed: number;
	kvCapacity: number;
};

/** What changes from second to second of a summary whose rest a peer already has. */
export type LoadUpdate = Pick<LoadSummary, 'endpoint' | 'running' | 'waiting' | 'waitingPrefillTokens'> & {
	/** Share of the KV memory in use, from 0 to 1. */
	kvShare: number;
};

/** The first message of each side. `challenge` is random text that the other side's proof has to cover. */
export type Hello = {kind: 'hello'; versions: VersionRange; from: MemberRumour; challenge: string};

/** What every heartbeat announces, so that whoever missed something learns of it from the next one. */
export type Heartbeat = {
	kind: 'heartbeat';
	incarnation: number;
	viewDigest: number;
	configurationVersion: number;
	rumours?: MemberRumour[];
};

/** A whole configuration, for an instance whose missing changes are no longer kept by its peers. */
export type ConfigurationSnapshot = {
	version: number;
	digest: string;
	items: ConfigurationItem[];
	/** Digest over version, digest and items. */
	contentDigest: string;
};

/** Any message. In `loads`, `age` is that of the oldest report, for clocks of two instances are never compared. */
export type PeerMessage
	= | Hello
		| {kind: 'proof'; digest: string}
		| Heartbeat
		| {kind: 'view'; members: MemberRumour[]}
		| {kind: 'ask-changes'; after: number}
		| {kind: 'changes'; changes: ConfigurationChange[]}
		| {kind: 'snapshot'; snapshot: ConfigurationSnapshot}
		| {kind: 'loads'; loads: LoadSummary[]; updates: LoadUpdate[]; age: number};

type PeerMessageKind = PeerMessage['kind'];

/** All kinds, to tell a message of a later release from one that is malformed. */
export const peerMessageKinds: ReadonlySet<string> = new Set<PeerMessageKind>([
	'hello', 'proof', 'heartbeat', 'view', 'ask-changes', 'changes', 'snapshot', 'loads',
]);

/**
 * Picks the protocol version for a link.
 *
 * @param own - The versions of this release.
 * @param other - The versions of the peer's release.
 * @returns The newest version that both speak; `undefined` if there is none.
 */
export function negotiatedVersion(own: VersionRange, other: VersionRange): number | undefined {
	const version = Math.min(own.newest, other.newest);
	return version >= own.least && version >= other.least ? version : undefined;
}

