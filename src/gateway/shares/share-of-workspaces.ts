/** What the configuration says about the shares of workspaces, by their names; grants are listed by key. */
import {defaultWorkspaceShare, type WorkspaceShare} from '../../decision/shares/service-demand.js';
import {type RoutedConfiguration} from '../../shared/routed-configuration.js';

export class ShareOfWorkspaces {
	#grants: RoutedConfiguration['grants'];
	#byName = new Map<string, WorkspaceShare>();

	/** Whether the configuration gives any workspace a weight, a floor or a ceiling. */
	isConfigured(grants: RoutedConfiguration['grants']): boolean {
		return this.#byNameOf(grants).size > 0;
	}

	/** The share of a workspace; without a configured one it has weight 1, no floor and no ceiling. */
	of(workspace: string, grants: RoutedConfiguration['grants']): WorkspaceShare {
		return this.#byNameOf(grants).get(workspace) ?? defaultWorkspaceShare;
	}

	#byNameOf(grants: RoutedConfiguration['grants']): ReadonlyMap<string, WorkspaceShare> {
		if (grants !== this.#grants) {
			this.#grants = grants;
			this.#byName = new Map([...grants?.values() ?? []].flatMap(({name, share}) => share === undefined ? [] : [[name, {...defaultWorkspaceShare, ...share}]]));
		}

		return this.#byName;
	}
}
