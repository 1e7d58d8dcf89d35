/**
 * Entries of the replicated log.
 */

import type {Membership} from './membership.js';

/** What an entry is for. */
export enum EntryKind {
	/** A command for the state machine. */
	Command = 'command',
	/** A leader's first entry; it commits what earlier terms left. */
	NoOp = 'no-op',
	/** A new membership, in force from the moment that it is appended. */
	Membership = 'membership',
}

/** One entry; `index` counts from 1. */
export type LogEntry = {index: number; term: number} & (
	| {kind: EntryKind.Command; command: unknown}
	| {kind: EntryKind.NoOp}
	| {kind: EntryKind.Membership; membership: Membership}
);
