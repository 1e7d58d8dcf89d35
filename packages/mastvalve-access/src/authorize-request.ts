/**
 * Who is asking, and whether an entry may believe it. Asked when a request arrives, and again at every hand-over to an
 * endpoint, since seconds may lie between the two.
 */

import {KeyKind, type PresentedKey} from './presented-key.js';
import type {Workspace} from './workspace.js';
import type {WorkspaceTable} from './workspace-table.js';

/** The judgement on one request. */
export enum AccessKind {
	/** It may go on, in the name of a workspace or of nobody. */
	Granted = 'granted',
	/** No workspace holds such a key, or none was presented. */
	UnknownKey = 'unknown',
	/** This entry has not heard from control for so long that the key may have been taken away. */
	StaleKeys = 'unsure',
}

/** The judgement, with the workspace in whose name the request goes on. */
export type AccessDecision = {kind: AccessKind.Granted; workspace: Workspace | undefined} | {kind: AccessKind.UnknownKey | AccessKind.StaleKeys};

/** What the judgement rests on. */
export type AccessInput = {
	key: PresentedKey;
	/** Workspaces in force; undefined where the configuration has none, so that no keys are asked for. */
	workspaces: WorkspaceTable | undefined;
	/** Whether the route is open to anybody. */
	isAnonymous: boolean;
	/** Whether this entry may still believe that no key was taken away. */
	hasFreshKeys: boolean;
};

/** Judges. An entry that may be out of date refuses known and unknown keys alike: an unknown one may be new. */
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
