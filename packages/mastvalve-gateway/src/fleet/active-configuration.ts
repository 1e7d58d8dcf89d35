/**
 * The configuration that an entry serves by, as it gathers it from changes.
 *
 * A version comes in force as a whole once all its changes are here, however many parts they took; until then the one
 * before holds.
 */

import {
	rankPriorities, WorkspaceTable, type PriorityRank, type Workspace,
} from 'mastvalve-access';
import {
	ConfigurationChangeKind, keyOfRoute, keyOfWorkspace, RouteTable, type ConfigurationChange, type ConfigurationFrame, type FeedPage, type Route,
} from 'mastvalve-fleet';

/** A configuration in force; never changes. */
export type ActiveConfiguration = ConfigurationFrame & {
	version: number;
	routes: RouteTable;
	/** Undefined where no keys are asked for. */
	workspaces: WorkspaceTable | undefined;
	/** Urgency of a request by those of its workspace and its route. */
	rankPriority: PriorityRank;
};

/** Bounds and services before the first frame has come. */
const initialFrame: ConfigurationFrame = {
	needsKeys: false, services: [], limits: {
		maxHeaderBytes: 0, maxBodyBytes: 0, headerTimeoutMs: 0, idleTimeoutMs: 0,
	},
};

/** What was gathered so far. */
export class ConfigurationAssembler {
	private readonly routes = new Map<string, Route>();
	private readonly workspaces = new Map<string, Workspace>();
	private frame = initialFrame;

	/** Takes changes in; the result is the newest version that they complete, if any. */
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
