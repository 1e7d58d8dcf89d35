/**
 * When each part of the configuration in force was last changed, as a feed for those who follow it.
 *
 * Revisions are part of the replicated state: a follower that goes from one control instance to another goes on where
 * it was.
 */

import {ChangeFeed, type FeedPosition} from '../state/change-feed.js';
import {ConfigurationChangeKind, type ConfigurationChange} from './configuration-change.js';
import {keyOfRoute} from './route-table.js';
import {keyOfWorkspace} from './workspace-key.js';
import type {Route} from './route.js';
import type {ServingConfiguration} from './serving-configuration.js';

/** Keys of what is no route; hosts contain neither sign. The version comes last within its revision. */
const frameKey = '\u{1}';
const versionKey = '\u{FFFF}';

/** Removed routes and workspaces that are remembered beside as many as there are routes. */
const minRemembered = 1000;
/** A route in JSON without its names, and each of its targets, bytes. */
const routeBytes = 220;
const targetBytes = 30;
/** A workspace without its name, and each of its key digests. */
const workspaceBytes = 200;
const digestBytes = 26;
/** A service, and each of its models. */
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

/** The history as plain data: revisions by key, and which keys are of removed routes and workspaces. */
export type HistorySnapshot = {revisions: Array<[key: string, revision: number]>; forgotten: FeedPosition};

const isSame = (a: unknown, b: unknown): boolean => JSON.stringify(a) === JSON.stringify(b);

/** All changes that lead from nothing to a configuration, by key. */
const listChanges = ({version, routes, services, limits, workspaces}: ServingConfiguration): Map<string, ConfigurationChange> =>
	new Map<string, ConfigurationChange>([
		...routes.map((route): [string, ConfigurationChange] => [keyOfRoute(route), {kind: ConfigurationChangeKind.Route, route}]),
		...(workspaces ?? []).map((workspace): [string, ConfigurationChange] => [keyOfWorkspace(workspace.name), {kind: ConfigurationChangeKind.Workspace, workspace}]),
		[frameKey, {kind: ConfigurationChangeKind.Frame, frame: {services, limits, needsKeys: workspaces !== undefined}}],
		[versionKey, {kind: ConfigurationChangeKind.Version, version}],
	]);

/** The history. */
export class ConfigurationHistory {
	/** The history as a snapshot holds it; without one, everything counts as changed at `revision`. */
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
	/** Keys of removed routes and workspaces, the one removed first at the front. */
	private readonly removed = new Set<string>();

	constructor(forgotten?: FeedPosition) {
		this.feed = new ChangeFeed(estimateBytes, forgotten);
	}

	/** Notes what a configuration changes. */
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
		const surplus = this.removed.size - Math.max(minRemembered, live);
		[...this.removed].slice(0, Math.max(0, surplus)).forEach(key => {
			this.removed.delete(key);
			this.current.delete(key);
			this.feed.forget(key);
		});
	}
}
