/**
 * How urgent a request is, where its route and its workspace both declare a rank.
 *
 * The rank of a workspace takes precedence over that of a route. Where most workspaces have the same rank, that leaves no
 * difference between kinds of requests: long prompts take all memory of the engines up to the share of their rank, and short ones,
 * whose objectives are a fifth of theirs, are refused as often.
 */

/** The ranks that apply to a request; 0 is the most urgent. */
export type DeclaredRanks = {
	/** Absent where the request has no workspace, or the workspace declares none. */
	workspaceRank: number | undefined;
	routeRank: number;
};

/** Decides by which ranks a request is placed. */
export interface Urgency {
	/** The rank by which an instance decides whether an endpoint has room for a request. */
	admissionRank(ranks: DeclaredRanks): number;
	/** The rank by which an engine orders requests. */
	engineRank(ranks: DeclaredRanks): number;
}

/** The rank of the workspace replaces that of the route. */
export class WorkspaceUrgency implements Urgency {
	admissionRank({workspaceRank, routeRank}: DeclaredRanks): number {
		return workspaceRank ?? routeRank;
	}

	engineRank(ranks: DeclaredRanks): number {
		return this.admissionRank(ranks);
	}
}

/** Ranks of routes that are distinguished within a rank of workspaces; less urgent ones count as the last of them. */
const routeRanks = 3;

/**
 * Engines order requests by the rank of the workspace, and by that of the route among workspaces of the same rank. Room is decided
 * by the route, since the route knows what its requests need: less urgent kinds leave room for more urgent ones. The header that
 * engines read ends at 9, so ranks of workspaces from 3 on are not distinguished.
 */
export class WorkspaceAndRouteUrgency implements Urgency {
	admissionRank({routeRank}: DeclaredRanks): number {
		return routeRank;
	}

	engineRank({workspaceRank, routeRank}: DeclaredRanks): number {
		return (routeRanks * (workspaceRank ?? routeRank)) + Math.min(routeRanks - 1, routeRank);
	}
}
