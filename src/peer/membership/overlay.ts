/**
 * Selects the peers to which an instance keeps links. Few instances form a full mesh. Beyond that, the instances of a data
 * centre form a ring in the order of their hashes: an instance links to the members of its own cell, which is a section of
 * the ring, and to a few members at larger distances. So the number of links stays constant while the ring grows, and an
 * update crosses it in a few hops. For each pair of data centres, two instances of either side are bridges, which link to
 * each other.
 */
import {bestMembers, hashOfText} from '../ownership/rendezvous.js';
import {type Member} from './membership.js';

/**
 * Up to this many instances in all data centres form a full mesh. Today's 14 to 18 fit, also while a roll-out has the old and
 * the new ones listed at the same time; 39 heartbeats a second are under 1.5 KB in each direction.
 */
export const fullMeshLimit = 40;

/** Maximum number of members of a cell. */
export const cellLimit = 8;

/** Distance of the long links to both sides, as a share of the ring: with them and the cells, six hops cross a ring of 95. */
const longLinkFraction = 0.3;
const bridgesPerDataCentre = 2;

/** The place of an instance in the overlay network. */
export type Overlay = {
	/** Peers to link to, by name. */
	neighbours: ReadonlyMap<string, Member>;
	/** Peers with which this instance exchanges endpoint loads; each is a neighbour. */
	cell: ReadonlyMap<string, Member>;
};

/**
 * Computes the place of an instance.
 *
 * @param self - The instance's name.
 * @param own - The live members of its data centre, itself included.
 * @param all - The live members of all data centres.
 * @returns Its neighbours and cell, without itself.
 */
export function overlayOf(self: string, own: readonly Member[], all: readonly Member[]): Overlay {
	if (all.length <= fullMeshLimit) {
		const allOthers = byName(all.filter(({name}) => name !== self));
		return {neighbours: allOthers, cell: allOthers};
	}

	const ring = own.toSorted((left, right) => left.nameHash - right.nameHash || (left.name < right.name ? -1 : 1));
	const position = ring.findIndex(({name}) => name === self);
	const cell = cellAt(ring, position);
	const neighbours = [...cell, ...longLinks(ring, position), ...bridgeLinks(self, own, all)];
	return {neighbours: byName(neighbours), cell: byName(cell)};
}

function cellAt(ring: readonly Member[], position: number): Member[] {
	const cells = Math.ceil(ring.length / cellLimit);
	const cellOf = (index: number): number => Math.floor(index * cells / ring.length);
	return ring.filter((_, index) => index !== position && cellOf(index) === cellOf(position));
}

function longLinks(ring: readonly Member[], position: number): Member[] {
	return [1, Math.round(ring.length * longLinkFraction)]
		.flatMap(distance => [position + distance, position - distance + ring.length])
		.map(index => ring[index % ring.length]!)
		.filter(member => member !== ring[position]);
}

/** Bridges are chosen for each pair of data centres, so that no instance has the links to all other data centres. */
function bridgeLinks(self: string, own: readonly Member[], all: readonly Member[]): Member[] {
	const ownName = own.find(({name}) => name === self)?.dataCentre ?? '';
	const others = byDataCentre(all.filter(({dataCentre}) => dataCentre !== ownName));
	return [...others].flatMap(([other, members]) => {
		const key = hashOfText([ownName, other].toSorted().join('|'));
		const isBridge = bestMembers(key, own, bridgesPerDataCentre).some(({name}) => name === self);
		return isBridge ? bestMembers(key, members, bridgesPerDataCentre) : [];
	});
}

function byName(members: readonly Member[]): Map<string, Member> {
	return new Map(members.map(member => [member.name, member]));
}

function byDataCentre(members: readonly Member[]): Map<string, Member[]> {
	const groups = new Map<string, Member[]>();
	for (const member of members) {
		groups.set(member.dataCentre, [...(groups.get(member.dataCentre) ?? []), member]);
	}

	return groups;
}
