/**
 * Embeddable replicated log: Raft as a pure state machine, a durable journal, and a node that drives both.
 */

export type * from './effects.js';
export * from './file-system.js';
export type * from './hard-state.js';
export * from './journal.js';
export {
	decodeJournal, encodeRecord, journalFormat, type JournalContent, type JournalHeader,
} from './journal-codec.js';
export * from './entry-size.js';
export * from './log-entry.js';
export * from './log-node.js';
export * from './membership.js';
export * from './membership-planner.js';
export * from './message.js';
export * from './replica.js';
export {Role} from './replica-core.js';
export * from './replica-options.js';
export type * from './snapshot.js';
