/**
 * Entries of the replicated log.
 */

import type {Membership} from './membership.js';

export enum EntryKind {
	/** A command for the state machine. */
	Command = 'command',
	/** First entry of a new leader; committing it also commits the remaining entries of earlier terms. */
	NoOp = 'no-op',
	/** New membership, effective as soon as it is appended. */
	Membership = 'membership',
}

/** Log entry; `index` starts at 1. */
export type LogEntry = {index: number; term: number} & (
	| {kind: EntryKind.Command; command: unknown}
	| {kind: EntryKind.NoOp}
	| {kind: EntryKind.Membership; membership: Membership}
);
