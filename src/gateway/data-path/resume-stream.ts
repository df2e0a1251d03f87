/**
 * Prepares a request for its placement: one that takes a stream up may go on only where the stream began, which other instances
 * are asked for. Any other request may be sent to every endpoint of its service.
 */
import {type Either, Left, Right} from 'purify-ts/Either';
import {decideResumption, type OriginKnowledge, type ResumptionDecision} from '../../decision/streams/decide-resumption.js';
import {type Refusal} from '../../shared/types.js';
import {type GatewayContext} from '../gateway-context.js';
import {type StreamOrigin, streamKey} from '../streams/stream-origin.js';
import {firstAttemptOf} from './request-head.js';
import {type RoutedWork} from './routed-work.js';
import {type ContinuationDependencies, StreamContinuation} from './stream-continuation.js';

/** The request, and where it may be sent. */
export type ResumedStream = Pick<RoutedWork, 'permitted' | 'continuation'>;

type ResumeContext = Pick<GatewayContext, 'clock' | 'endpoints' | 'endpointVersions' | 'streamOrigins'>;

/** `Retry-After` where another instance may know the stream: its caller can return at once, but not in a tight loop. */
const unknownRetryMilliseconds = 200;
/** `Retry-After` where no endpoint is left: one that crashed may be back at the same version in about this time. */
const goneRetryMilliseconds = 1000;

const refusals: Record<(ResumptionDecision & {kind: 'refuse'})['reason'], Refusal> = {
	'origin-unknown': {
		reason: 'stream-unknown', ran: 'not-run', message: 'it is not known here at which software version the stream began', retryAfterMilliseconds: unknownRetryMilliseconds,
	},
	'service-removed': {
		reason: 'stream-version-gone', ran: 'not-run', message: 'the route no longer leads to the service that began the stream',
	},
	'version-gone': {
		reason: 'stream-version-gone', ran: 'not-run', message: 'no endpoint of the software version that began the stream is left', retryAfterMilliseconds: goneRetryMilliseconds,
	},
};

/**
 * Finds out where a request may be sent.
 *
 * @param context - The endpoints, and what is known of streams.
 * @param work - The request.
 * @returns The service that it goes to and the endpoints to which it may be sent there; or the refusal of a stream that cannot go on.
 */
export async function resumeStream(context: ResumeContext, work: Pick<RoutedWork, 'head' | 'permitted' | 'arrivedAt'>): Promise<Either<Refusal, ResumedStream>> {
	const {head, permitted} = work;
	const {route, service} = permitted;
	const dependencies: ContinuationDependencies = {
		...context,
		record(origin) {
			recordOrigin(context, work, origin);
		},
	};

	if (route.kind !== 'resumable-stream' || head.lastEventId === undefined) {
		return Right({permitted, continuation: new StreamContinuation(dependencies)});
	}

	const knowledge = await knownOrigin(context, work);
	const now = context.clock.moment().steady;
	const decision = decideResumption(knowledge, {
		service,
		targets: route.targets.filter(({weight}) => weight > 0).map(target => target.service),
		isListed: origin => context.endpoints.usable(origin.service, now, ({softwareVersion}) => softwareVersion === origin.softwareVersion).length > 0,
	});
	return decision.kind === 'refuse'
		? Left(refusalOf(decision))
		: Right({permitted: {...permitted, service: decision.origin.service}, continuation: new StreamContinuation(dependencies, decision.origin)});
}

function refusalOf({reason, retryAfterMilliseconds}: ResumptionDecision & {kind: 'refuse'}): Refusal {
	return {...refusals[reason], ...(retryAfterMilliseconds === undefined ? {} : {retryAfterMilliseconds})};
}

async function knownOrigin({clock, endpoints, streamOrigins}: ResumeContext, {head, permitted: {grant, service}}: Pick<RoutedWork, 'head' | 'permitted'>): Promise<OriginKnowledge> {
	if (head.resumes !== undefined) {
		return streamOrigins.findOrigin(streamKey(grant?.name, head.resumes), service);
	}

	const softwareVersion = endpoints.soleVersionAt(service, clock.moment());
	return softwareVersion === undefined ? {kind: 'unknown'} : {kind: 'sole-version', softwareVersion};
}

/** Records where a stream began, for as long as its caller waits. */
function recordOrigin({clock, streamOrigins}: ResumeContext, {head, permitted: {route, grant}, arrivedAt}: Pick<RoutedWork, 'head' | 'permitted' | 'arrivedAt'>, origin: StreamOrigin): void {
	const waitedMilliseconds = clock.moment().steady - arrivedAt.steady;
	const lifetimeMilliseconds = (head.deadlineMilliseconds ?? route.timeoutMilliseconds) - waitedMilliseconds;
	if (lifetimeMilliseconds > 0) {
		streamOrigins.record(streamKey(grant?.name, firstAttemptOf(head)), origin, lifetimeMilliseconds);
	}
}
