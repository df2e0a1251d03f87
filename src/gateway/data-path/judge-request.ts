/** Decides from its head alone whether a request is refused before any endpoint hears of it. */
import {type Either, Left, Right} from 'purify-ts/Either';
import {type Moment} from '../../ports/moment-clock.js';
import {hashOf} from '../../shared/hash-of.js';
import {type Refusal} from '../../shared/types.js';
import {type ConfigurationInForce, type ConfigurationView} from '../configuration/configuration-view.js';
import {type Route, type RouteTarget, type WorkspaceGrant} from '../../shared/routed-configuration.js';
import {type RequestHead} from './request-head.js';

/** A request that may be sent on. */
export type PermittedRequest = {
	route: Route;
	/** The service that the route's split chose. */
	service: string;
	/** Absent where the route needs no key. */
	grant: WorkspaceGrant | undefined;
	/** 0 is the most urgent. */
	rank: number;
	configurationVersion: number;
};

/** When a caller may try again an instance that lost the store: by then the balancer has taken it out of rotation. */
const untrustedRetryMilliseconds = 1000;

/**
 * Judges a request.
 *
 * A 401 or 404 tells the client that no repeat can help. An instance whose knowledge is old cannot know that: the key or
 * route may be newer than its configuration. It says "not run" instead, and the client's repeat reaches another instance.
 *
 * @param head - The request.
 * @param view - The configuration and how far it may be trusted.
 * @param now - The present moment.
 * @returns What may be sent on, or the refusal.
 */
export function judgeRequest(head: RequestHead, view: ConfigurationView, now: Moment): Either<Refusal, PermittedRequest> {
	const {current} = view;
	if (current === undefined) {
		return Left(staleRefusal('no configuration has been read yet'));
	}

	if (headerBytesOf(head.rawHeaders) > current.limits.headerBytes) {
		return Left({reason: 'headers-too-large', ran: 'not-run', message: `the headers are longer than ${current.limits.headerBytes} bytes`});
	}

	const isFresh = view.trustAt(now) === 'fresh';
	const route = current.table.routeFor(head.host, head.target);
	if (route === undefined) {
		return Left(isFresh
			? {reason: 'not-found', ran: 'not-run', message: 'no route matches the host and path'}
			: staleRefusal('no route is known, and the configuration here may be old'));
	}

	return judgeKey(route, head, {current, view, now}).map(grant => ({
		route,
		service: chooseTarget(route.targets, head.attemptId),
		grant,
		rank: grant?.rank ?? route.rank,
		configurationVersion: current.version,
	}));
}

type Knowledge = {current: ConfigurationInForce; view: ConfigurationView; now: Moment};

function judgeKey(route: Route, head: RequestHead, {current, view, now}: Knowledge): Either<Refusal, WorkspaceGrant | undefined> {
	if (!route.needsKey || current.grants === undefined) {
		return Right(undefined);
	}

	const trust = view.trustAt(now);
	if (trust === 'lapsed') {
		return Left(staleRefusal('keys cannot be checked here: the store has been out of reach for too long'));
	}

	const grant = current.grants.get(head.key ?? '');
	if (grant !== undefined) {
		return Right(grant);
	}

	return Left(trust === 'fresh'
		? {reason: 'unauthorized', ran: 'not-run', message: 'the key is missing or not known'}
		: staleRefusal('the key is not known, and the configuration here may be old'));
}

/** Picks by weight; the same request always gets the same service. */
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
	// Each header line has a colon, a space and the line's end beside its name and value: four bytes for each pair.
	return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}

function staleRefusal(message: string): Refusal {
	return {
		reason: 'stale-configuration', ran: 'not-run', message, retryAfterMilliseconds: untrustedRetryMilliseconds,
	};
}
