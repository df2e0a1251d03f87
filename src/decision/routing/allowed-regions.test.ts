import assert from 'node:assert/strict';
import {test} from 'node:test';
import {isDataCentreAllowed, isRegionAllowed, isRelayAllowed} from './allowed-regions.js';

const regions = {own: 'dalmatia', byDataCentre: new Map([['split', 'dalmatia'], ['zadar', 'dalmatia'], ['trieste', 'friuli'], ['venice', 'veneto']])};

test('without restrictions every region is allowed, also an unknown one', () => {
	assert.ok(isRegionAllowed({route: {}, grant: undefined}, undefined));
	assert.ok(isRegionAllowed({route: {allowedRegions: []}, grant: {allowedRegions: []}}, 'friuli'));
});

test('the restrictions of the route and of the workspace both bind', () => {
	const restrictions = {route: {allowedRegions: ['dalmatia', 'friuli']}, grant: {allowedRegions: ['friuli', 'veneto']}};
	assert.deepEqual([...regions.byDataCentre.keys()].filter(dataCentre => isDataCentreAllowed(restrictions, regions, dataCentre)), ['trieste']);
});

test('a restricted request is not processed in a data centre whose region is not known', () => {
	assert.ok(!isDataCentreAllowed({route: {allowedRegions: ['dalmatia']}, grant: undefined}, regions, 'elsewhere'));
});

test('an instance relays a restricted request in an allowed region and in the region of the caller, nowhere else', () => {
	const restrictions = {route: {allowedRegions: ['friuli']}, grant: undefined};
	assert.deepEqual([...regions.byDataCentre.keys()].filter(dataCentre => isRelayAllowed(restrictions, regions, dataCentre)), ['split', 'zadar', 'trieste']);
});
