/**
 * What a replica wants done after it was stepped.
 */

import type {HardState} from './hard-state.js';
import type {LogEntry} from './log-entry.js';
import type {Message} from './message.js';
import type {Snapshot} from './snapshot.js';

/** What must be durable, in this order: snapshot, then truncation, then new entries, with the hard state. */
export type DurableWrite = {
	hardState?: HardState;
	/** A snapshot that replaces all that is stored; the entries behind it follow in `append`. */
	snapshot?: Snapshot;
	/** Stored entries from this index on are void. */
	truncateFrom?: number;
	append: LogEntry[];
};

/** Carried out in this order: write and sync, then send, then apply. */
export type Effects = {
	write: DurableWrite | undefined;
	messages: Message[];
	/** A snapshot that the state machine must be set to, before `committed`. */
	snapshotToRestore: Snapshot | undefined;
	/** Entries to apply, in order. */
	committed: LogEntry[];
};
