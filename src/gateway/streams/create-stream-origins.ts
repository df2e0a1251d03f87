/** Assembles what an instance knows of the origins of streams: its own, those that it keeps for peers, and who the peers are. */
import {type MomentClock} from '../../ports/moment-clock.js';
import {type Child} from '../../supervisor/supervisor.js';
import {type LocalFollower} from '../coordinator/local-follower.js';
import {SharedStreamOrigins, type SharedStreamOriginsDependencies} from './stream-origins.js';
import {StoredOrigins, type StoredOriginsDependencies} from './stored-origins.js';
import {StreamPeers} from './stream-peers.js';
import {StreamServer} from './stream-server.js';

export type StreamOriginsDependencies = Omit<SharedStreamOriginsDependencies, 'peers' | 'stored'> & {
	clock: MomentClock;
	instance?: string;
	/** Where origins are written; absent where they are only kept in memory. */
	store?: StoredOriginsDependencies['store'];
	/** `IP:port` where this instance answers peers. */
	address: string;
	dataCentre: string;
	isStopping: () => boolean;
};

export type CreatedStreamOrigins = {
	streamOrigins: SharedStreamOrigins;
	/** What the coordinator exchanges with this instance. */
	follower: Pick<LocalFollower, 'streamPeers' | 'applyStreamPeers'>;
	children: readonly Child[];
};

export function createStreamOrigins(dependencies: StreamOriginsDependencies): CreatedStreamOrigins {
	const {address, dataCentre, clock, key, isStopping, instance = address, store, hasSeveralVersions = () => false} = dependencies;
	const peers = new StreamPeers(address);
	const stored = store === undefined
		? undefined
		: new StoredOrigins({
			store, clock, instance, hasSeveralVersions,
		});
	const streamOrigins = new SharedStreamOrigins({...dependencies, peers, ...(stored === undefined ? {} : {stored})});
	const server = new StreamServer({
		address,
		key,
		onRecords(records) {
			streamOrigins.receive(records);
		},
		answer: (streamKey, service) => streamOrigins.answer(streamKey, service),
	});
	return {
		streamOrigins,
		follower: {
			streamPeers: () => ({
				...(isStopping() || key() === undefined ? {} : {address}),
				dataCentre,
				digest: peers.digest,
			}),
			applyStreamPeers(list) {
				peers.apply(list, clock.moment().steady);
			},
		},
		children: [streamOrigins, server, ...(stored === undefined ? [] : [stored])],
	};
}
