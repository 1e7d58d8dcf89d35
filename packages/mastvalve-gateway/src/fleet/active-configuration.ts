/**
 * Assembles the configuration that an entry serves from pages of changes.
 *
 * A version takes effect atomically once all its changes are received, over any number of pages; until then the previous
 * version stays in force.
 */

import {
	rankPriorities, WorkspaceTable, type PriorityRank, type Workspace,
} from 'mastvalve-access';
import {
	ConfigurationChangeKind, keyOfRoute, keyOfWorkspace, RouteTable, type ConfigurationChange, type ConfigurationFrame, type FeedPage, type Route,
} from 'mastvalve-fleet';

/** A configuration in force. Immutable. */
export type ActiveConfiguration = ConfigurationFrame & {
	version: number;
	routes: RouteTable;
	/** Undefined if the configuration requires no keys. */
	workspaces: WorkspaceTable | undefined;
	/** Ranks a request by the priorities of its workspace and its route. */
	rankPriority: PriorityRank;
};

/** Limits and services until the first frame is received. */
const initialFrame: ConfigurationFrame = {
	needsKeys: false, services: [], limits: {
		maxHeaderBytes: 0, maxBodyBytes: 0, headerTimeoutMs: 0, idleTimeoutMs: 0,
	},
};

/** Accumulates the changes received so far. */
export class ConfigurationAssembler {
	private readonly routes = new Map<string, Route>();
	private readonly workspaces = new Map<string, Workspace>();
	private frame = initialFrame;

	/** Applies a page of changes. Returns the newest version that it completes, if any. */
	applyPage({isWhole, changes}: FeedPage<ConfigurationChange>): ActiveConfiguration | undefined {
		if (isWhole) {
			this.routes.clear();
			this.workspaces.clear();
		}

		return changes.reduce<ActiveConfiguration | undefined>((completed, change) => this.applyChange(change) ?? completed, undefined);
	}

	private applyChange(change: ConfigurationChange): ActiveConfiguration | undefined {
		switch (change.kind) {
			case ConfigurationChangeKind.Route: {
				this.routes.set(keyOfRoute(change.route), change.route);
				return undefined;
			}

			case ConfigurationChangeKind.Workspace: {
				this.workspaces.set(keyOfWorkspace(change.workspace.name), change.workspace);
				return undefined;
			}

			case ConfigurationChangeKind.Removal: {
				this.routes.delete(change.key);
				this.workspaces.delete(change.key);
				return undefined;
			}

			case ConfigurationChangeKind.Frame: {
				this.frame = change.frame;
				return undefined;
			}

			case ConfigurationChangeKind.Version: {
				return this.createActive(change.version);
			}
		}
	}

	private createActive(version: number): ActiveConfiguration {
		const workspaces = this.frame.needsKeys ? [...this.workspaces.values()] : [];
		return {
			...this.frame,
			version,
			routes: new RouteTable(this.routes.values()),
			workspaces: this.frame.needsKeys ? new WorkspaceTable(workspaces) : undefined,
			rankPriority: rankPriorities({workspaces: workspaces.map(({priority}) => priority), routes: Array.from(this.routes.values(), ({priority}) => priority)}),
		};
	}
}
