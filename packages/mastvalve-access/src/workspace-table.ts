/**
 * Which workspace holds a key. A look-up costs the same for one key and for a hundred thousand.
 */

import type {Workspace} from './workspace.js';

/** The workspaces of one configuration; never changes. */
export class WorkspaceTable {
	private readonly byDigest: ReadonlyMap<string, Workspace>;
	private readonly byName: ReadonlyMap<string, Workspace>;

	constructor(workspaces: Iterable<Workspace>) {
		const all = [...workspaces];
		this.byName = new Map(all.map(workspace => [workspace.name, workspace]));
		this.byDigest = new Map(all.flatMap(workspace => workspace.keyDigests.map((digest): [string, Workspace] => [digest, workspace])));
	}

	/** The workspace that holds a key. */
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
