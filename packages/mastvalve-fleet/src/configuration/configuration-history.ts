/**
 * Records the revision at which each part of the active configuration last changed, as a feed for followers.
 *
 * Revisions are part of the replicated state, so a follower that switches to another control instance resumes at its
 * cursor.
 */

import {ChangeFeed, type FeedPosition} from '../state/change-feed.js';
import {ConfigurationChangeKind, type ConfigurationChange} from './configuration-change.js';
import {keyOfRoute} from './route-table.js';
import {keyOfWorkspace} from './workspace-key.js';
import type {Route} from './route.js';
import type {ServingConfiguration} from './serving-configuration.js';

/** Keys of the frame and the version; hosts contain neither character. The version sorts last within its revision. */
const frameKey = '\u{1}';
const versionKey = '\u{FFFF}';

/** Removals that are kept at least; more are kept while the configuration has more parts than this. */
const minRetainedRemovals = 1000;
/** Size in JSON of a route without its names, and of each target, bytes. */
const routeBytes = 220;
const targetBytes = 30;
/** Size in JSON of a workspace without its name, and of each key digest, bytes. */
const workspaceBytes = 200;
const digestBytes = 26;
/** Size in JSON of a service, and of each model, bytes. */
const serviceBytes = 300;
const modelBytes = 160;
const otherBytes = 60;

const estimateRoute = ({name, host, pathPrefix, targets}: Route): number =>
	routeBytes + name.length + host.length + pathPrefix.length + (targets.length * targetBytes);

const estimateBytes = (change: ConfigurationChange): number => {
	switch (change.kind) {
		case ConfigurationChangeKind.Route: {
			return estimateRoute(change.route);
		}

		case ConfigurationChangeKind.Frame: {
			return change.frame.services.reduce((sum, {engine}) => sum + serviceBytes + ((engine?.models.length ?? 0) * modelBytes), 0);
		}

		case ConfigurationChangeKind.Workspace: {
			const {name, keyDigests} = change.workspace;
			return workspaceBytes + name.length + (keyDigests.length * digestBytes);
		}

		case ConfigurationChangeKind.Removal:
		case ConfigurationChangeKind.Version: {
			return otherBytes;
		}
	}
};

/** The history as plain data: revisions by key, including those of removed routes and workspaces. */
export type HistorySnapshot = {revisions: Array<[key: string, revision: number]>; forgotten: FeedPosition};

const isSame = (a: unknown, b: unknown): boolean => JSON.stringify(a) === JSON.stringify(b);

/** Returns the changes that build a configuration from an empty one, by key. */
const listChanges = ({version, routes, services, limits, workspaces}: ServingConfiguration): Map<string, ConfigurationChange> =>
	new Map<string, ConfigurationChange>([
		...routes.map((route): [string, ConfigurationChange] => [keyOfRoute(route), {kind: ConfigurationChangeKind.Route, route}]),
		...(workspaces ?? []).map((workspace): [string, ConfigurationChange] => [keyOfWorkspace(workspace.name), {kind: ConfigurationChangeKind.Workspace, workspace}]),
		[frameKey, {kind: ConfigurationChangeKind.Frame, frame: {services, limits, needsKeys: workspaces !== undefined}}],
		[versionKey, {kind: ConfigurationChangeKind.Version, version}],
	]);

export class ConfigurationHistory {
	/** Restores the history from a snapshot; without one, every part counts as changed at `revision`. */
	static restore(configuration: ServingConfiguration | undefined, revision: number, snapshot: HistorySnapshot | undefined): ConfigurationHistory {
		const history = new ConfigurationHistory(snapshot?.forgotten);
		if (!configuration) {
			return history;
		}

		const changes = listChanges(configuration);
		const revisions = snapshot?.revisions ?? [...changes.keys()].map((key): [string, number] => [key, revision]);
		revisions.toSorted(([aKey, a], [bKey, b]) => (a === b ? Number(aKey > bKey) - Number(aKey < bKey) : a - b)).forEach(([key, at]) => {
			history.put(key, changes.get(key) ?? {kind: ConfigurationChangeKind.Removal, key}, at);
		});
		return history;
	}

	readonly feed: ChangeFeed<ConfigurationChange>;
	private readonly current = new Map<string, ConfigurationChange>();
	/** Keys of removed routes and workspaces, in order of removal. */
	private readonly removed = new Set<string>();

	constructor(forgotten?: FeedPosition) {
		this.feed = new ChangeFeed(estimateBytes, forgotten);
	}

	/** Records the differences between a configuration and the current one. */
	apply(configuration: ServingConfiguration, revision: number): void {
		const next = listChanges(configuration);
		const changed = [...next].filter(([key, change]) => !isSame(this.current.get(key), change));
		const gone = [...this.current.keys()]
			.filter(key => !next.has(key) && !this.removed.has(key))
			.map((key): [string, ConfigurationChange] => [key, {kind: ConfigurationChangeKind.Removal, key}]);
		[...changed, ...gone].toSorted(([a], [b]) => (a < b ? -1 : 1)).forEach(([key, change]) => {
			this.put(key, change, revision);
		});
		this.forgetOldRemovals(next.size);
	}

	takeSnapshot(): HistorySnapshot {
		return {
			revisions: this.feed.list().map(({key, revision}): [string, number] => [key, revision]), forgotten: this.feed.forgottenUpTo,
		};
	}

	private put(key: string, change: ConfigurationChange, revision: number): void {
		this.current.set(key, change);
		this.removed.delete(key);
		if (change.kind === ConfigurationChangeKind.Removal) {
			this.removed.add(key);
		}

		this.feed.put(key, change, revision);
	}

	private forgetOldRemovals(live: number): void {
		const surplus = this.removed.size - Math.max(minRetainedRemovals, live);
		[...this.removed].slice(0, Math.max(0, surplus)).forEach(key => {
			this.removed.delete(key);
			this.current.delete(key);
			this.feed.forget(key);
		});
	}
}
