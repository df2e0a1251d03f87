/**
 * The messages between peers. Everything in them is a hint, except configuration changes, which are verified by their
 * chain of digests.
 */
import {type ConfigurationChange, type ConfigurationItem} from '../../shared/types.js';

/** The oldest and the newest version of this protocol that this release supports. */
export const supportedVersions: VersionRange = {least: 1, newest: 1};

/** A range of protocol versions, both ends included. */
export type VersionRange = {
	least: number;
	newest: number;
};

/**
 * The status of a member. A `suspect` has missed heartbeats; `gone` means that it counts as failed; `left` is a graceful
 * departure, which no later update of the same incarnation overrides.
 */
export type MemberStatus = 'alive' | 'suspect' | 'gone' | 'left';

/** A gossip update about a member. A higher incarnation overrides a lower one; at the same one, the later status wins. */
export type MemberUpdate = {
	name: string;
	dataCentre: string;
	peerAddress: string;
	/** At first the time of the process start; the member raises it to refute an update by which it has failed or left. */
	incarnation: number;
	status: Exclude<MemberStatus, 'suspect'>;
};

/** A summary of an endpoint's load, small enough to be sent every second. */
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

/** The fields of a summary that change from second to second, for peers that already have the rest of it. */
export type LoadUpdate = Pick<LoadSummary, 'endpoint' | 'running' | 'waiting' | 'waitingPrefillTokens'> & {
	/** Used share of the KV memory, from 0 to 1. */
	kvShare: number;
};

/** The first message of each side of a link. `challenge` is random text that the other side's proof has to cover. */
export type Hello = {kind: 'hello'; versions: VersionRange; from: MemberUpdate; challenge: string};

/** A heartbeat. It announces the sender's digest and version, so that a peer that missed something notices it at the next one. */
export type Heartbeat = {
	kind: 'heartbeat';
	incarnation: number;
	viewDigest: number;
	configurationVersion: number;
	rumours?: MemberUpdate[];
};

/** A whole configuration, for an instance whose missing changes its peers no longer retain. */
export type ConfigurationSnapshot = {
	version: number;
	digest: string;
	items: ConfigurationItem[];
	/** Digest over version, digest and items. */
	contentDigest: string;
};

/** Any message. In `loads`, `age` is that of the oldest report; times are not sent, since clocks of instances may differ. */
export type PeerMessage
	= | Hello
		| {kind: 'proof'; digest: string}
		| Heartbeat
		| {kind: 'view'; members: MemberUpdate[]}
		| {kind: 'ask-changes'; after: number}
		| {kind: 'changes'; changes: ConfigurationChange[]}
		| {kind: 'snapshot'; snapshot: ConfigurationSnapshot}
		| {kind: 'loads'; loads: LoadSummary[]; updates: LoadUpdate[]; age: number};

type PeerMessageKind = PeerMessage['kind'];

/** All kinds that this release knows; a message of another kind comes from a later release. */
export const peerMessageKinds: ReadonlySet<string> = new Set<PeerMessageKind>([
	'hello', 'proof', 'heartbeat', 'view', 'ask-changes', 'changes', 'snapshot', 'loads',
]);

/**
 * Negotiates the protocol version of a link.
 *
 * @param own - The versions of this release.
 * @param other - The versions of the peer's release.
 * @returns The newest version that both support; `undefined` if there is none.
 */
export function negotiateVersion(own: VersionRange, other: VersionRange): number | undefined {
	const version = Math.min(own.newest, other.newest);
	return version >= own.least && version >= other.least ? version : undefined;
}

