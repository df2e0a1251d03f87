import {type ServiceItem, type WorkspaceItem} from '../shared/types.js';

/** An error that the schema of a single item cannot detect, with its path in the declaration. */
export type BrokenReference = {
	path: Array<string | number>;
	message: string;
};

/** The items whose references are checked, from files or from a configuration. */
export type ReferringItems = {
	workspaces: readonly WorkspaceItem[];
	services: readonly ServiceItem[];
	rules: ReadonlyArray<{workspace?: string | undefined; service?: string | undefined}>;
};

/**
 * Finds references to undeclared names, keys of more than one workspace, and models that a workspace has more than once.
 *
 * A key that two workspaces share would let one of them act as the other. A model that two services of a workspace offer
 * would be served by whichever is listed first. Both are rejected before they can come into force.
 *
 * @param declaration - All items together.
 * @returns The errors, in the order of the declaration.
 */
export function findBrokenReferences(declaration: ReferringItems): BrokenReference[] {
	return [...findInWorkspaces(declaration), ...findInRules(declaration)];
}

function findInWorkspaces({workspaces, services}: Pick<ReferringItems, 'workspaces' | 'services'>): BrokenReference[] {
	const servicesByName = new Map(services.map(service => [service.name, service]));
	const ownerOfKey = new Map<string, string>();
	const found: BrokenReference[] = [];
	for (const [index, workspace] of workspaces.entries()) {
		const models = new Set<string>();
		for (const [position, name] of workspace.services.entries()) {
			const path = ['workspaces', index, 'services', position];
			const service = servicesByName.get(name);
			if (service === undefined) {
				found.push({path, message: `no service "${name}" is declared`});
			} else if (service.kind === 'model') {
				if (models.has(service.model)) {
					found.push({path, message: `the workspace already has the model "${service.model}" through another service`});
				}

				models.add(service.model);
			}
		}

		for (const [position, digest] of workspace.keyDigests.entries()) {
			const owner = ownerOfKey.get(digest);
			if (owner !== undefined) {
				found.push({path: ['workspaces', index, 'keyDigests', position], message: `this key belongs to the workspace "${owner}" already`});
			}

			ownerOfKey.set(digest, workspace.name);
		}
	}

	return found;
}

function findInRules({workspaces, services, rules}: ReferringItems): BrokenReference[] {
	const known = {
		workspace: new Set(workspaces.map(({name}) => name)),
		service: new Set(services.map(({name}) => name)),
	};
	const found: BrokenReference[] = [];
	for (const [index, rule] of rules.entries()) {
		for (const member of ['workspace', 'service'] as const) {
			const name = rule[member];
			if (name !== undefined && !known[member].has(name)) {
				found.push({path: ['rules', index, member], message: `no ${member} "${name}" is declared`});
			}
		}
	}

	return found;
}
