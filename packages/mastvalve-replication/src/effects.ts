/**
 * Effects of a replica's inputs, for its driver to carry out.
 */

import type {HardState} from './hard-state.js';
import type {LogEntry} from './log-entry.js';
import type {Message} from './message.js';
import type {Snapshot} from './snapshot.js';

/** State to make durable atomically; it applies in the order snapshot, truncation, new entries, and includes the hard state. */
export type DurableWrite = {
	hardState?: HardState;
	/** Snapshot that replaces the stored log; the entries after it are in `append`. */
	snapshot?: Snapshot;
	/** First index of the stored entries to discard. */
	truncateFrom?: number;
	append: LogEntry[];
};

/** To be carried out in this order: write and sync, send, apply. */
export type Effects = {
	write: DurableWrite | undefined;
	messages: Message[];
	/** Snapshot to restore into the state machine before `committed` is applied. */
	snapshotToRestore: Snapshot | undefined;
	/** Newly committed entries, in log order. */
	committed: LogEntry[];
};
