import assert from 'node:assert/strict';
import {test} from 'node:test';
import {testRoute} from '../testing/test-configuration.js';
import {RouteTable} from './route-table.js';

const table = new RouteTable([
	testRoute({name: 'all', host: 'quay.example', pathPrefix: '/'}),
	testRoute({name: 'bookings', host: 'quay.example', pathPrefix: '/bookings/'}),
	testRoute({name: 'night', host: 'quay.example', pathPrefix: '/bookings/night/'}),
]);

test('the longest matching path prefix of the host selects the route', () => {
	assert.equal(table.routeFor('quay.example', '/bookings/night/7?x=/')?.name, 'night');
	assert.equal(table.routeFor('quay.example', '/bookings/7')?.name, 'bookings');
	assert.equal(table.routeFor('quay.example', '/bookings')?.name, 'all');
	assert.equal(table.routeFor('QUAY.example:8005', '/bookings/')?.name, 'bookings');
	assert.equal(table.routeFor('other.example', '/bookings/'), undefined);
});

test('the raw path is compared, without decoding or removal of dot segments', () => {
	// The endpoint gets the raw path; a route chosen by the normalised path could send it to a service that it is not meant for.
	assert.equal(table.routeFor('quay.example', '/bookings/../night/')?.name, 'bookings');
	assert.equal(table.routeFor('quay.example', '/%62ookings/night/')?.name, 'all');
	assert.equal(table.routeFor('quay.example', '//bookings/')?.name, 'all');
});
