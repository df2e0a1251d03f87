/**
 * Which peers an instance keeps links to. While all instances are few, everybody links to everybody. Beyond that, a data
 * centre's instances stand in a ring in order of their hash: an instance links to the members of its own cell, a run of
 * the ring, and to a few at growing distances, so that the number of links stays the same while the ring grows and a
 * rumour crosses it in a few hops. Two instances of each data centre link to two of each other one.
 */
import {bestMembers, hashOfText} from '../sharing/rendezvous.js';
import {type Member} from './membership.js';

/**
 * Up to so many instances in all data centres, everybody links to everybody. Today's 14 to 18 fit, also while a roll-out
 * has the old and the new ones listed at the same time; 39 heartbeats a second are under 1.5 KB each way.
 */
export const fullMeshLimit = 40;

/** Most members of a cell. */
export const cellLimit = 8;

/** With links to both sides this far away, and whole cells, a ring of 95 is crossed in about six hops. */
const longLinkFraction = 0.3;
const gatewaysPerDataCentre = 2;

/** What an instance needs to know of its place. */
export type Overlay = {
	/** Peers with a link, by name. */
	neighbours: ReadonlyMap<string, Member>;
	/** Peers that share detailed knowledge with this instance; each is a neighbour. */
	cell: ReadonlyMap<string, Member>;
};

/**
 * Works out the place of an instance.
 *
 * @param self - The instance's name.
 * @param own - The live members of its data centre, itself included.
 * @param all - The live members of all data centres.
 * @returns Its neighbours and cell, without itself.
 */
export function overlayOf(self: string, own: readonly Member[], all: readonly Member[]): Overlay {
	if (all.length <= fullMeshLimit) {
		const everybody = byName(all.filter(({name}) => name !== self));
		return {neighbours: everybody, cell: everybody};
	}

	const ring = own.toSorted((left, right) => left.nameHash - right.nameHash || (left.name < right.name ? -1 : 1));
	const place = ring.findIndex(({name}) => name === self);
	const cell = cellAt(ring, place);
	const neighbours = [...cell, ...longLinks(ring, place), ...gatewayLinks(self, own, all)];
	return {neighbours: byName(neighbours), cell: byName(cell)};
}

function cellAt(ring: readonly Member[], place: number): Member[] {
	const cells = Math.ceil(ring.length / cellLimit);
	const cellOf = (index: number): number => Math.floor(index * cells / ring.length);
	return ring.filter((_, index) => index !== place && cellOf(index) === cellOf(place));
}

function longLinks(ring: readonly Member[], place: number): Member[] {
	return [1, Math.round(ring.length * longLinkFraction)]
		.flatMap(distance => [place + distance, place - distance + ring.length])
		.map(index => ring[index % ring.length]!)
		.filter(member => member !== ring[place]);
}

/** A gateway is chosen for each pair of data centres, so that no instance carries the links to all others. */
function gatewayLinks(self: string, own: readonly Member[], all: readonly Member[]): Member[] {
	const ownName = own.find(({name}) => name === self)?.dataCentre ?? '';
	const others = byDataCentre(all.filter(({dataCentre}) => dataCentre !== ownName));
	return [...others].flatMap(([other, members]) => {
		const key = hashOfText([ownName, other].toSorted().join('|'));
		const isGateway = bestMembers(key, own, gatewaysPerDataCentre).some(({name}) => name === self);
		return isGateway ? bestMembers(key, members, gatewaysPerDataCentre) : [];
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
