/** What the hub and its followers say to each other, as frames over one connection each. */

/** Requests under way at an endpoint, and the prompt tokens of those that have not begun to answer. */
export type EndpointLoad = [requests: number, unreadTokens: number];

/** A follower's question. Its answer proves that all that the hub knew by then has been told. */
export type FollowerFrame = {
	kind: 'ask';
	number: number;
	instance: string;
	/** Stored parts used since the last question, as `salt|id`. */
	uses: string[];
	/** What this instance has under way, by endpoint. */
	loads: Record<string, EndpointLoad>;
};

/** What the hub sends. */
export type HubFrame
	= | {
		kind: 'answer';
		number: number;
		/** The engines' clock, in milliseconds; absent while it is not known. */
		clock?: number;
		/** Stores that may be saved to and fetched from. */
		open: string[];
		/** What all other instances have under way, by endpoint. */
		loads: Record<string, EndpointLoad>;
	}
	| {
		kind: 'parts';
		store: string;
		added: Array<[key: string, tokens: number]>;
		removed: string[];
	};
