/**
 * Where a stream may go on: only at the service and software version that began it. Endpoints of another version may make other
 * events from the same request, and the caller would get the beginning of one answer and the end of another.
 */
import {type EndpointRecord} from '../../shared/endpoint-record.js';
import {type StreamOrigin} from '../streams/stream-origin.js';

export class StreamContinuation {
	#origin: StreamOrigin | undefined;
	readonly #record: (origin: StreamOrigin) => void;
	#hasBegun = false;

	/**
	 * @param record - Records where the stream began, before the caller gets its first event of this answer.
	 * @param origin - Where the stream began; absent for one that begins with this request.
	 */
	constructor(record: (origin: StreamOrigin) => void, origin?: StreamOrigin) {
		this.#record = record;
		this.#origin = origin;
	}

	/** Whether the stream has begun, with this request or an earlier one. */
	get isBound(): boolean {
		return this.#origin !== undefined;
	}

	/** Records that the first event is forwarded, by the endpoint's record as it was when the request was sent. */
	begin({service, softwareVersion}: EndpointRecord): void {
		this.#origin ??= {service, softwareVersion};
		if (!this.#hasBegun) {
			this.#hasBegun = true;
			this.#record(this.#origin);
		}
	}

	/** Whether the request may be sent to an endpoint. */
	allows({service, softwareVersion}: EndpointRecord): boolean {
		return this.#origin === undefined || (this.#origin.service === service && this.#origin.softwareVersion === softwareVersion);
	}
}
