/**
 * The names that requests and answers carry on the wire. The data path knows what each header holds; how it is spelled
 * is told from outside, so that a deployment with other names needs no other data path. All names are lower case.
 */

/** The headers that the data path reads or sets. */
export type WireNames = {
	/** Id of one attempt of a client; endpoints echo it. */
	attemptId: string;
	/** How many milliseconds the sender will wait. */
	deadline: string;
	/** The client's key; never passed on. */
	workspaceKey: string;
	/** Name of the workspace that holds the key; set for endpoints. */
	workspace: string;
	model: string;
	/** Prompt tokens and the most output tokens, with a comma between. */
	tokenCount: string;
	/** The parts of the prompt in order, as `id:tokens` with commas between. */
	promptParts: string;
	/** The endpoint that the request is for; any other refuses it. */
	expectedEndpoint: string;
	/** The name of the endpoint that answers. */
	endpointName: string;
	/** The weight version that the request is for; an engine with another refuses it. */
	expectedVersion: string;
	/** An endpoint's signature under its answer. */
	seal: string;
	/** An endpoint's word that it did not run the request. */
	notExecuted: string;
	/** Requests running, requests waiting and slots, with commas between. */
	endpointLoad: string;
	/** The weight version that an engine answered with. */
	weightVersion: string;
	/** Separates cached prompt parts: an engine finds a part only under the text it was stored with. */
	cacheSalt: string;
	/** Rank at the engine; 0 is the most urgent. */
	engineRank: string;
	/** Where an engine fetches cached parts from. */
	fetchFrom: string;
	/** Where an engine saves parts to. */
	saveTo: string;
	/** When a fetch that is not finished is thrown away, on the engines' clock. */
	fetchUntil: string;
	/** The last event that the receiver of a stream has. */
	lastEventId: string;
	/** Headers that only the system may set; what a client sent under these names is dropped. */
	reserved: readonly string[];
};

/** The product's own spelling. */
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
	weightVersion: 'savorygauge-weight-version',
	cacheSalt: 'savorygauge-cache-salt',
	engineRank: 'savorygauge-rank',
	fetchFrom: 'savorygauge-fetch-from',
	saveTo: 'savorygauge-save-to',
	fetchUntil: 'savorygauge-fetch-until',
	lastEventId: 'last-event-id',
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
