/**
 * Where a stream may go on: only at the service and software version that began it. Endpoints of another version may make other
 * events from the same request, and the caller would get the beginning of one answer and the end of another.
 *
 * A stream that begins at an endpoint whose version is not certain goes on nowhere else until it is.
 */
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type EndpointRegistry} from '../endpoints/endpoint-registry.js';
import {type EndpointVersions} from '../endpoints/endpoint-watches.js';
import {type StreamOrigin} from '../streams/stream-origin.js';

export type ContinuationDependencies = {
	endpoints: Pick<EndpointRegistry, 'byName'>;
	endpointVersions: EndpointVersions;
	/** Records where the stream began, before the caller gets its first event of this answer if the version is certain by then. */
	record: (origin: StreamOrigin) => void;
};

export class StreamContinuation {
	readonly #dependencies: ContinuationDependencies;
	#origin: StreamOrigin | undefined;
	#isRecorded = false;
	#isUncertain = false;

	/** @param origin - Where the stream began; absent for one that begins with this request. */
	constructor(dependencies: ContinuationDependencies, origin?: StreamOrigin) {
		this.#dependencies = dependencies;
		this.#origin = origin;
	}

	/** Whether the stream has begun, with this request or an earlier one. */
	get isBound(): boolean {
		return this.#origin !== undefined || this.#isUncertain;
	}

	/** Records that the first event of an endpoint's answer is forwarded. */
	begin(endpoint: EndpointRecord): void {
		this.#origin ??= this.#originAt(endpoint);
		this.#isUncertain = this.#origin === undefined;
		if (this.#origin !== undefined && !this.#isRecorded) {
			this.#isRecorded = true;
			this.#dependencies.record(this.#origin);
		}
	}

	/** Records that an endpoint goes on; its version may have become certain. */
	confirm(endpoint: EndpointRecord): void {
		if (this.#isUncertain) {
			this.begin(endpoint);
		}
	}

	/** Whether the request may be sent to an endpoint. */
	allows({service, softwareVersion}: EndpointRecord): boolean {
		return !this.#isUncertain && (this.#origin === undefined || (this.#origin.service === service && this.#origin.softwareVersion === softwareVersion));
	}

	/** Whether events of an endpoint may follow those that the caller has: another process may be there since it was chosen. */
	mayRelay(endpoint: EndpointRecord): boolean {
		return !this.isBound || this.#dependencies.endpointVersions.isCertain(endpoint);
	}

	/** By the endpoint's present row; it may have been an older one when the request was sent. */
	#originAt(endpoint: EndpointRecord): StreamOrigin | undefined {
		const listed = this.#dependencies.endpoints.byName(endpoint.name);
		const present = listed?.address === endpoint.address ? listed : endpoint;
		return this.#dependencies.endpointVersions.isCertain(present) ? {service: present.service, softwareVersion: present.softwareVersion} : undefined;
	}
}
