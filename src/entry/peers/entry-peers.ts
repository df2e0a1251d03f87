/**
 * Connects this entry to its peers: binds the peer service to the configuration in force, the endpoint directory, the
 * timeline and the metrics.
 */
import {stateOfSnapshot} from '../../peer/configuration/configuration-snapshot.js';
import {reportOf} from '../../peer/load/load-summary.js';
import {PeerService} from '../../peer/link/peer-service.js';
import {type ConfigurationSnapshot, type MemberStatus} from '../../peer/message/peer-message.js';
import {seededRandom} from '../../peer/random/seeded-random.js';
import {hashOfText} from '../../peer/ownership/rendezvous.js';
import {type LoadReport} from '../../ports/model-engine.js';
import {type ConfigurationChange, type JsonValue, type ListedInstance} from '../../shared/types.js';
import {type EntryContext} from '../entry-context.js';

/** The view of the peers that operators receive. */
export type PeerOverview = {
	isReader: boolean;
	ownedEndpoints: JsonValue;
	/** Names of the instances that this one has an open link to. */
	linked: string[];
	counts: Record<string, JsonValue>;
	members: Array<{
		name: string; dataCentre: string; status: MemberStatus; incarnation: number; isListed: boolean; changedSecondsAgo: number;
	}>;
};

export class EntryPeers {
	readonly service: PeerService;
	readonly random: () => number;
	readonly #context: EntryContext;
	/** True while a peer's change is applied. The peer node itself forwards such a change, since it knows which peers have it. */
	#isApplyingPeerChange = false;

	constructor(context: EntryContext) {
		this.#context = context;
		const {settings, clock, configuration, timeline, logger} = context;
		this.random = seededRandom(hashOfText(`${settings.instance}|${clock.now()}`));
		this.service = new PeerService({
			instance: settings.instance,
			dataCentre: settings.dataCentre,
			listenAddress: settings.peerListen,
			secret: settings.cacheSecret,
			seeds: settings.peerSeeds.split(',').filter(address => address !== ''),
			clock,
			random: this.random,
			fanoutMode: 'announce',
			configuration: {
				get state() {
					return configuration.state;
				},
				offerChange: change => this.#offerChange(change),
			},
			listener: {
				loadsReceived(loads) {
					for (const {name, summary, measuredAt} of loads) {
						context.endpoints.applyReport(name, reportOf(summary, measuredAt), measuredAt);
					}
				},
				snapshotOffered: snapshot => this.#offerSnapshot(snapshot),
				memberChanged({name, status}) {
					timeline.record({kind: status === 'alive' ? 'instance-seen' : 'instance-gone', at: clock.now(), detail: `${name} ${status}`});
				},
				ownershipChanged({acquired, released}) {
					if (acquired > 0) {
						timeline.record({kind: 'shard-taken', at: clock.now(), detail: `${acquired} endpoints to watch`});
					}

					if (released > 0) {
						timeline.record({kind: 'shard-released', at: clock.now(), detail: `${released} endpoints to watch`});
					}
				},
			},
			onLinkOpened(peer) {
				timeline.record({kind: 'link-opened', at: clock.now(), detail: peer});
			},
			onLinkClosed(peer, reason) {
				logger.debug('a peer link ended', {peer, reason});
				timeline.record({kind: 'link-closed', at: clock.now(), detail: `${peer} ${reason}`});
			},
		});
		context.endpoints.expectOnly(name => this.service.node.loadGossip.expects(name, this.service.node.overlay.cell));
		configuration.onChange((_state, change) => {
			if (change !== undefined && !this.#isApplyingPeerChange) {
				this.service.announceChange(change);
			}
		});
	}

	/** Whether the change that is being brought into force came from a peer. */
	get isApplyingPeerChange(): boolean {
		return this.#isApplyingPeerChange;
	}

	/** Whether this entry reads configuration changes from the table service; an entry without links to peers always does. */
	get isReader(): boolean {
		return this.service.node.isReader || this.service.linked.length === 0;
	}

	/** Applies the platform's instance list, and reports the metrics of the peer links. */
	applyList(instances: readonly ListedInstance[]): void {
		this.service.applyList(instances);
		const {metrics} = this.#context;
		const {counts, node, linked} = this.service;
		metrics.report('peers.live', node.membership.allLive().length);
		metrics.report('peers.links', linked.length);
		metrics.report('peers.bytes_out', counts.bytesOut);
		metrics.report('peers.bytes_in', counts.bytesIn);
		metrics.report('peers.dropped', counts.dropped);
	}

	/** Returns the names of the endpoints whose load reports this instance reads now. */
	endpointsToPoll(): ReadonlySet<string> {
		const {node} = this.service;
		return new Set(node.loadGossip.endpointsToPoll(this.#context.clock.now(), node.overlay.cell));
	}

	/** Handles a load report that this instance received from an endpoint, and publishes it to the peers. */
	handleReport(name: string, report: LoadReport): void {
		this.service.handleReport(name, report);
	}

	/** Returns the view for operators: the members that this instance knows, and what it does for its peers. */
	overview(): PeerOverview {
		const {node, linked, counts} = this.service;
		const now = this.#context.clock.now();
		return {
			isReader: node.isReader,
			ownedEndpoints: node.loadGossip.owned(),
			linked,
			counts: {...counts},
			members: node.membership.allMembers().map(({name, dataCentre, status, incarnation, isListed, changedAt}) => ({
				name, dataCentre, status, incarnation, isListed, changedSecondsAgo: Math.round((now - changedAt) / 1000),
			})),
		};
	}

	#offerChange(change: ConfigurationChange) {
		this.#isApplyingPeerChange = true;
		try {
			const answer = this.#context.configuration.offer(change);
			return answer.isLeft() ? answer.extract() : undefined;
		} finally {
			this.#isApplyingPeerChange = false;
		}
	}

	#offerSnapshot(snapshot: ConfigurationSnapshot): boolean {
		const state = stateOfSnapshot(snapshot);
		return state !== undefined && this.#context.configuration.adopt(state);
	}
}
