/** Validates a request by its head alone, before anything is sent to an endpoint. */
import {type Either, Left, Right} from 'purify-ts/Either';
import {type Moment} from '../../ports/moment-clock.js';
import {hashOf} from '../../shared/hash-of.js';
import {type Refusal} from '../../shared/types.js';
import {type ConfigurationInForce, type ConfigurationView} from '../configuration/configuration-view.js';
import {type Route, type RouteTarget, type WorkspaceGrant} from '../../shared/routed-configuration.js';
import {firstAttemptOf, type RequestHead} from './request-head.js';

/** A request that may be sent to an endpoint. */
export type PermittedRequest = {
	route: Route;
	/** The service that the route's traffic split selected. */
	service: string;
	/** Absent where the route needs no key. */
	grant: WorkspaceGrant | undefined;
	/** 0 is the most urgent. */
	rank: number;
	configurationVersion: number;
};

/** `Retry-After` of an instance that lost the store: by then the load balancer has taken it out of rotation. */
const staleRetryMilliseconds = 1000;

/**
 * Validates a request: the size of its headers, its route and its key.
 *
 * A 401 or 404 tells the client that no retry can help. An instance with a stale configuration cannot know that, since the
 * key or route may be newer than its configuration. It answers "not run" instead, and the retry reaches another instance.
 *
 * @param head - The request.
 * @param view - The configuration and how long it is valid.
 * @param now - The present moment.
 * @returns The permitted request, or the refusal.
 */
export function validateRequest(head: RequestHead, view: ConfigurationView, now: Moment): Either<Refusal, PermittedRequest> {
	const {current} = view;
	if (current === undefined) {
		return Left(staleRefusal('no configuration has been read yet'));
	}

	if (headerBytesOf(head.rawHeaders) > current.limits.headerBytes) {
		return Left({reason: 'headers-too-large', ran: 'not-run', message: `the headers are longer than ${current.limits.headerBytes} bytes`});
	}

	const isFresh = view.validityAt(now) === 'fresh';
	const route = current.table.routeFor(head.host, head.target);
	if (route === undefined) {
		return Left(isFresh
			? {reason: 'not-found', ran: 'not-run', message: 'no route matches the host and path'}
			: staleRefusal('no route matches, but the configuration of this instance may be stale'));
	}

	return checkKey(route, head, {current, view, now}).map(grant => ({
		route,
		service: chooseTarget(route.targets, firstAttemptOf(head)),
		grant,
		rank: grant?.rank ?? route.rank,
		configurationVersion: current.version,
	}));
}

type ValidationContext = {current: ConfigurationInForce; view: ConfigurationView; now: Moment};

function checkKey(route: Route, head: RequestHead, {current, view, now}: ValidationContext): Either<Refusal, WorkspaceGrant | undefined> {
	if (!route.requiresKey || current.grants === undefined) {
		return Right(undefined);
	}

	const validity = view.validityAt(now);
	if (validity === 'lapsed') {
		return Left(staleRefusal('the key cannot be checked: this instance has not reached the store for too long'));
	}

	const grant = current.grants.get(head.key ?? '');
	if (grant !== undefined) {
		return Right(grant);
	}

	return Left(validity === 'fresh'
		? {reason: 'unauthorized', ran: 'not-run', message: 'the key is missing or not known'}
		: staleRefusal('the key is not known, but the configuration of this instance may be stale'));
}

/** Selects a service by weight; all attempts at one stream get the same service. */
function chooseTarget(targets: readonly RouteTarget[], attemptId: string): string {
	const total = targets.reduce((sum, {weight}) => sum + weight, 0);
	let point = total * hashOf(attemptId) / (2 ** 32);
	for (const {service, weight} of targets) {
		point -= weight;
		if (point < 0) {
			return service;
		}
	}

	return targets.at(-1)?.service ?? '';
}

function headerBytesOf(rawHeaders: readonly string[]): number {
	// Besides its name and value each header line has a colon, a space and a two-byte line end: four bytes for each pair.
	return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}

function staleRefusal(message: string): Refusal {
	return {
		reason: 'stale-configuration', ran: 'not-run', message, retryAfterMilliseconds: staleRetryMilliseconds,
	};
}
