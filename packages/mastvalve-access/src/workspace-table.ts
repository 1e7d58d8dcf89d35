/**
 * Index of workspaces by key. A look-up takes constant time, for one key as for a hundred thousand.
 */

import type {Workspace} from './workspace.js';

/** Immutable index of the workspaces of one configuration. */
export class WorkspaceTable {
	private readonly byDigest: ReadonlyMap<string, Workspace>;
	private readonly byName: ReadonlyMap<string, Workspace>;

	constructor(workspaces: Iterable<Workspace>) {
		const all = [...workspaces];
		this.byName = new Map(all.map(workspace => [workspace.name, workspace]));
		this.byDigest = new Map(all.flatMap(workspace => workspace.keyDigests.map((digest): [string, Workspace] => [digest, workspace])));
	}

	/** Finds the workspace that holds the key with a digest. */
	findByKey(digest: string): Workspace | undefined {
		return this.byDigest.get(digest);
	}

	findByName(name: string): Workspace | undefined {
		return this.byName.get(name);
	}

	list(): Workspace[] {
		return [...this.byName.values()];
	}
}
