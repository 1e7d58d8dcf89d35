/**
 * Identifies the workspace of a request and decides whether its key may be relied on. Checked when a request arrives and again at each
 * dispatch to an endpoint, since seconds may pass in between.
 */

import {KeyKind, type PresentedKey} from './presented-key.js';
import type {Workspace} from './workspace.js';
import type {WorkspaceTable} from './workspace-table.js';

export enum AccessKind {
	/** The request may proceed, for a workspace or anonymously. */
	Granted = 'granted',
	/** No workspace holds the key, or none was presented. */
	UnknownKey = 'unknown',
	/** This entry's keys are stale: the key may have been revoked since they were last confirmed. */
	StaleKeys = 'unsure',
}

/** Decision with the workspace of the request; undefined for an anonymous request. */
export type AccessDecision = {kind: AccessKind.Granted; workspace: Workspace | undefined} | {kind: AccessKind.UnknownKey | AccessKind.StaleKeys};

export type AccessInput = {
	key: PresentedKey;
	/** Workspaces in force; undefined if the configuration has none, so that no key is required. */
	workspaces: WorkspaceTable | undefined;
	/** Whether the route accepts requests without a key. */
	isAnonymous: boolean;
	/** Whether this entry may still rely on its keys. */
	hasFreshKeys: boolean;
};

/** Decides on a request. An entry with stale keys refuses known and unknown keys alike, since an unknown one may be new. */
export const authorizeRequest = ({key, workspaces, isAnonymous, hasFreshKeys}: AccessInput): AccessDecision => {
	if (!workspaces) {
		return {kind: AccessKind.Granted, workspace: undefined};
	}

	const workspace = hasFreshKeys && key.kind === KeyKind.Presented ? workspaces.findByKey(key.digest) : undefined;
	if (workspace !== undefined || isAnonymous) {
		return {kind: AccessKind.Granted, workspace};
	}

	return {kind: hasFreshKeys || key.kind !== KeyKind.Presented ? AccessKind.UnknownKey : AccessKind.StaleKeys};
};
