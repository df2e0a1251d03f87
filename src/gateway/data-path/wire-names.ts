/**
 * Names of the headers that requests and answers carry. The data path defines what each header means; its name is
 * configurable, so that a deployment with other names needs no changes here. All names are in lower case.
 */

/** The headers that the data path reads or sets. */
export type WireNames = {
	/** Id of one attempt of a client; endpoints echo it. */
	attemptId: string;
	/** How many milliseconds the sender waits. */
	deadline: string;
	/** The client's key; never forwarded. */
	workspaceKey: string;
	/** Name of the workspace that holds the key; set for endpoints. */
	workspace: string;
	model: string;
	/** Prompt tokens and maximum output tokens, separated by a comma. */
	tokenCount: string;
	/** The blocks of the prompt in order, as `id:tokens`, separated by commas. */
	promptParts: string;
	/** The endpoint that the request is for; any other rejects it. */
	expectedEndpoint: string;
	/** The name of the endpoint that answers. */
	endpointName: string;
	/** The weight version that the request is for; an engine with another version rejects it. */
	expectedVersion: string;
	/** An endpoint's signature of its answer. */
	seal: string;
	/** States that the endpoint did not run the request. */
	notExecuted: string;
	/** Running requests, waiting requests and slots, separated by commas. */
	endpointLoad: string;
	/** Requests a second that the endpoint takes from all instances together, as long as its answers say so. */
	endpointLimit: string;
	/** Requests that an endpoint may turn away in a second before it falls over, in all answers of a brittle service. */
	endpointBrittle: string;
	/** `1` in the answers of an endpoint that finishes its work and accepts no new requests. */
	endpointLeaving: string;
	/** The weight version that an engine answered with. */
	weightVersion: string;
	/** Separates cached prompt blocks: an engine finds a block only under the salt that it was stored with. */
	cacheSalt: string;
	/** Priority at the engine; 0 is the most urgent. */
	engineRank: string;
	/** Addresses from which an engine fetches cached blocks. */
	fetchFrom: string;
	/** Addresses to which an engine saves blocks. */
	saveTo: string;
	/** When an unfinished fetch is abandoned, by the engines' clock. */
	fetchUntil: string;
	/** Id of the last event that the receiver of a stream has. */
	lastEventId: string;
	/** Id of the attempt that brought the first event of a stream that its caller takes up again. */
	resumes: string;
	/** Headers that only the system may set; a client's values are dropped. */
	reserved: readonly string[];
};

/** The product's own header names. */
export const ownWireNames: WireNames = {
	attemptId: 'savorygauge-attempt-id',
	deadline: 'savorygauge-deadline-milliseconds',
	workspaceKey: 'savorygauge-key',
	workspace: 'savorygauge-workspace',
	model: 'savorygauge-model',
	tokenCount: 'savorygauge-token-count',
	promptParts: 'savorygauge-prompt-parts',
	expectedEndpoint: 'savorygauge-expected-endpoint',
	endpointName: 'savorygauge-endpoint',
	expectedVersion: 'savorygauge-expected-version',
	seal: 'savorygauge-seal',
	notExecuted: 'savorygauge-not-executed',
	endpointLoad: 'savorygauge-endpoint-load',
	endpointLimit: 'savorygauge-limit',
	endpointBrittle: 'savorygauge-brittle',
	endpointLeaving: 'savorygauge-leaving',
	weightVersion: 'savorygauge-weight-version',
	cacheSalt: 'savorygauge-cache-salt',
	engineRank: 'savorygauge-rank',
	fetchFrom: 'savorygauge-fetch-from',
	saveTo: 'savorygauge-save-to',
	fetchUntil: 'savorygauge-fetch-until',
	lastEventId: 'last-event-id',
	resumes: 'savorygauge-resumes',
	reserved: [
		'savorygauge-workspace',
		'savorygauge-expected-endpoint',
		'savorygauge-expected-version',
		'savorygauge-cache-salt',
		'savorygauge-rank',
		'savorygauge-fetch-from',
		'savorygauge-save-to',
		'savorygauge-fetch-until',
	],
};
