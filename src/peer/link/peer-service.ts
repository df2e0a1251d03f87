/**
 * Runs a `PeerNode` over TCP: listens, dials the peers to which the node wants links, sends its messages, and calls its
 * `tick`. It is a child of the entry's supervisor; when it is restarted after a failure, it keeps its membership.
 */
import {type Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	type AddressInfo, connect, createServer, type Server, type Socket,
} from 'node:net';
import {type Clock} from '../../ports/clock.js';
import {type LoadReport} from '../../ports/model-engine.js';
import {type ConfigurationChange, type ListedInstance} from '../../shared/types.js';
import {type Child} from '../../supervisor/supervisor.js';
import {encodeMessage} from '../message/message-codec.js';
import {
	type MemberUpdate, type PeerMessage, supportedVersions, type VersionRange,
} from '../message/peer-message.js';
import {PeerNode} from '../node/peer-node.js';
import {type PeerNodeOptions} from '../node/peer-node-options.js';
import {type OutgoingMessage} from '../node/peer-outbox.js';
import {type LinkCounts, type LinkOwner, PeerLink} from './peer-link.js';
import {redialDelay} from './redial-delay.js';

const maxTickMilliseconds = 100;
const minTickMilliseconds = 2;

/** The peer with the smaller name dials. If it has not done so after this time, it may not know the other, which dials too. */
const dialAnywayMilliseconds = 1500;
/**
 * The same for a peer that this process has not been linked to yet: after a restart the peers know only the address of the
 * former process. The delay leaves peers that start together time for one link instead of two.
 */
const dialUnlinkedMilliseconds = 150;

/** How long this side keeps a dialled link that it no longer wants, because views differ for a while after each change. */
const unwantedLinkMilliseconds = 10_000;

/**
 * Idle timeout of a link. After a network partition TCP retransmits at growing intervals of up to minutes; without this
 * timeout a link would stay unusable for another time as long as the partition.
 */
const idleLinkMilliseconds = 8000;

/** Maximum number of incoming connections; far more than the links of any overlay. */
const maxIncomingConnections = 256;

export type PeerServiceOptions = Omit<PeerNodeOptions, 'self'> & {
	instance: string;
	dataCentre: string;
	/** `IP:port`; port 0 selects a free port. */
	listenAddress: string;
	/** The same on all instances. */
	secret: string;
	clock: Clock;
	/** Addresses to dial while there is no link, for a start without the platform's list. */
	seeds?: readonly string[];
	versions?: VersionRange;
	onLinkOpened?(peer: string): void;
	onLinkClosed?(peer: string, reason: string): void;
};

type DialState = {failures: number; notBefore: number; wantedSince: number; isOpen: boolean};

export class PeerService implements Child, LinkOwner {
	readonly name = 'peers';
	readonly versions: VersionRange;
	readonly secret: string;
	readonly counts: LinkCounts = {
		bytesIn: 0, bytesOut: 0, messagesIn: 0, messagesOut: 0, dropped: 0, unknownKinds: 0,
	};

	readonly #options: PeerServiceOptions;
	readonly #server: Server;
	readonly #links = new Map<string, PeerLink>();
	readonly #open = new Set<PeerLink>();
	readonly #dials = new Map<string, DialState>();
	/** Names of the peers that this process has had a link with. */
	readonly #formerlyLinked = new Set<string>();
	readonly #seedDials = new Map<string, DialState>();
	readonly #lastReceived = new Map<string, {received: number; at: number}>();
	readonly #unwantedSince = new Map<string, number>();
	#node: PeerNode | undefined;

	constructor(options: PeerServiceOptions) {
		this.#options = options;
		this.versions = options.versions ?? supportedVersions;
		this.secret = options.secret;
		this.#server = createServer(socket => {
			this.#accept(socket);
		});
		this.#server.maxConnections = maxIncomingConnections;
	}

	/** The node; available once `listen` has resolved. */
	get node(): PeerNode {
		return this.#node!;
	}

	/** Names of the peers with a link. */
	get linked(): string[] {
		return [...this.#links.keys()];
	}

	/** Starts to listen. Resolves with the address as `IP:port`. */
	async listen(): Promise<string> {
		const {listenAddress, instance, dataCentre, clock} = this.#options;
		const separator = listenAddress.lastIndexOf(':');
		const host = listenAddress.slice(0, separator);
		this.#server.listen(Number(listenAddress.slice(separator + 1)), host);
		await once(this.#server, 'listening');
		const peerAddress = `${host}:${(this.#server.address() as AddressInfo).port}`;
		const now = clock.now();
		this.#node ??= new PeerNode({
			...this.#options,
			self: {
				name: instance, dataCentre, peerAddress, incarnation: now,
			},
		}, now);
		return peerAddress;
	}

	async run(signal: AbortSignal): Promise<void> {
		if (!this.#server.listening) {
			await this.listen();
		}

		const {clock} = this.#options;
		while (!signal.aborted) {
			const now = clock.now();
			this.#send(this.node.tick(now));
			this.#closeIdle(now);
			this.#dialWanted(now);
			this.#dialSeeds(now);
			const wait = Math.min(maxTickMilliseconds, this.node.dueAt - clock.now());
			await clock.sleep(Math.max(minTickMilliseconds, wait), signal);
		}

		this.#close();
	}

	/** Announces the departure of this instance, so that the peers take over its shards at once. */
	leave(): void {
		this.#send(this.node.leave());
	}

	/** Applies the platform's list of instances. */
	applyList(instances: readonly ListedInstance[]): void {
		this.node.applyList(instances, this.#options.clock.now());
	}

	/** Handles a load report that this instance polled from an endpoint. */
	handleReport(name: string, report: LoadReport): void {
		this.#send(this.node.handleReport(name, report, this.#options.clock.now()));
	}

	/** Announces to the peers a change that came into force here through the table or an operator. */
	announceChange(change: ConfigurationChange): void {
		this.#send(this.node.announceChange(change));
	}

	self(): MemberUpdate {
		return this.node.membership.self;
	}

	linkReady(link: PeerLink): void {
		const peer = link.peer!;
		const other = this.#links.get(peer.name);
		if (other !== undefined && other !== link) {
			// Both sides dialled, or the peer was restarted. After a restart only the newest link is sure to be connected to a
			// running process. Of two links that both sides dialled, both keep the one that the smaller name dialled.
			const isCrossed = other.peer?.incarnation === peer.incarnation && other.dialled !== link.dialled;
			const keepsNew = !isCrossed || link.dialled === (this.#options.instance < peer.name);
			(keepsNew ? other : link).close('duplicate link');
			if (!keepsNew) {
				return;
			}
		}

		this.#links.set(peer.name, link);
		this.#formerlyLinked.add(peer.name);
		this.#dials.delete(peer.name);
		this.#options.onLinkOpened?.(peer.name);
		this.#send(this.node.linkUp(peer, this.#options.clock.now()));
	}

	linkMessage(link: PeerLink, message: PeerMessage): void {
		const now = this.#options.clock.now();
		this.#send(this.node.handleMessage(link.peer!.name, message, now));
	}

	linkClosed(link: PeerLink, reason: string): void {
		this.#open.delete(link);
		const name = link.peer?.name;
		if (name !== undefined && this.#links.get(name) === link) {
			this.#links.delete(name);
			this.node.linkDown(name);
			this.#options.onLinkClosed?.(name, reason);
		}
	}

	#accept(socket: Socket): void {
		this.#open.add(new PeerLink(socket, false, this, this.counts));
	}

	#send(outgoing: readonly OutgoingMessage[]): void {
		const frames = new Map<PeerMessage, Buffer>();
		for (const {to, message} of outgoing) {
			const link = this.#links.get(to);
			if (link !== undefined) {
				const frame = frames.get(message) ?? encodeMessage(message);
				frames.set(message, frame);
				link.sendFrame(frame);
			}
		}
	}

	/** Without a link and without the platform's list no peer is known, but the settings may name addresses of peers. */
	#dialSeeds(now: number): void {
		for (const seed of this.#links.size === 0 ? this.#options.seeds ?? [] : []) {
			const dial = this.#seedDials.get(seed) ?? {
				failures: 0, notBefore: now, wantedSince: now, isOpen: false,
			};
			this.#seedDials.set(seed, dial);
			if (!dial.isOpen && now >= dial.notBefore) {
				this.#dial(seed, dial);
			}
		}
	}

	#closeIdle(now: number): void {
		for (const [name, link] of this.#links) {
			const last = this.#lastReceived.get(name);
			if (last?.received !== link.received) {
				this.#lastReceived.set(name, {received: link.received, at: now});
			} else if (now - last.at > idleLinkMilliseconds) {
				this.#lastReceived.delete(name);
				link.close('silent');
			}
		}
	}

	#closeUnwanted(wanted: ReadonlySet<string>, now: number): void {
		for (const [name, link] of this.#links) {
			if (wanted.has(name) || !link.dialled) {
				this.#unwantedSince.delete(name);
			} else if (now - (this.#unwantedSince.get(name) ?? now) > unwantedLinkMilliseconds) {
				this.#unwantedSince.delete(name);
				link.close('no longer wanted by the overlay');
			} else if (!this.#unwantedSince.has(name)) {
				this.#unwantedSince.set(name, now);
			}
		}
	}

	#dialWanted(now: number): void {
		const wanted = this.node.wantedLinks();
		this.#closeUnwanted(new Set(wanted.map(({name}) => name)), now);
		for (const {name, peerAddress} of wanted) {
			if (this.#links.has(name)) {
				continue;
			}

			const dial = this.#dials.get(name) ?? {
				failures: 0, notBefore: now, wantedSince: now, isOpen: false,
			};
			this.#dials.set(name, dial);
			const dialsAfterMilliseconds = this.#formerlyLinked.has(name) ? dialAnywayMilliseconds : dialUnlinkedMilliseconds;
			const isDialler = this.#options.instance < name || now - dial.wantedSince > dialsAfterMilliseconds;
			if (isDialler && !dial.isOpen && now >= dial.notBefore) {
				this.#dial(peerAddress, dial);
			}
		}
	}

	#dial(address: string, dial: DialState): void {
		const separator = address.lastIndexOf(':');
		const socket = connect({host: address.slice(0, separator), port: Number(address.slice(separator + 1))});
		const link = new PeerLink(socket, true, this, this.counts);
		dial.isOpen = true;
		this.#open.add(link);
		socket.once('close', () => {
			dial.isOpen = false;
			dial.failures++;
			dial.notBefore = this.#options.clock.now() + redialDelay(dial.failures, this.#options.random());
		});
	}

	#close(): void {
		this.#server.close();
		for (const link of this.#open) {
			link.end();
		}
	}
}
