/**
 * Times on which the leader and the entries of limited workspaces rely together.
 */

/** Age of a call beyond which its answer is not used, ms: an entry that was suspended must not run what it was granted before. */
export const maxAnswerAgeMs = 250;

/** Longest time between two calls of an entry that holds grants, ms: what it may grant without a leader follows from the last answer. */
export const maxCallIntervalMs = 1000;

/** An entry that hasn't called for this long is silent, ms: its grants count at the leader until it calls again. */
export const silentAfterMs = maxCallIntervalMs + maxAnswerAgeMs;

/** Time since the last answer of a leader for which an entry grants without one, ms. Keys are stale by then. */
export const maxLocalGrantMs = 5000;

/** Time after the start of a leader until entries that haven't reported to it grant nothing any more, ms. */
export const unreportedGrantMs = maxLocalGrantMs + maxAnswerAgeMs;

/** Entries report their grants in steps of this length, ms. */
export const reportStepMs = 500;
