/**
 * What the leader decides about a claim.
 */

export enum DispatchDecisionKind {
	/** The request is sent to the named engine. */
	Assigned = 'assigned',
	/** The request waits at the leader; the entry learns the outcome from its next call. */
	Queued = 'queued',
	/** The request can't be served in time and is refused as not run. */
	Refused = 'refused',
	/** The leader knows no engine that holds the model; the entry waits for a load or refuses by itself. */
	NoHolder = 'no-holder',
}

/** Prompt parts that an engine is to copy from another one before it reads the rest. */
export type DecidedCopy = {
	/** Engine that keeps them. */
	source: string;
	/** Tokens that it keeps past those of the assigned engine. */
	tokens: number;
};

export type DispatchDecision = {id: string} & (
	| {kind: DispatchDecisionKind.Assigned; endpoint: string; expectedMs: number; cachedTokens: number; copy?: DecidedCopy}
	| {kind: DispatchDecisionKind.Queued}
	| {kind: DispatchDecisionKind.Refused; retryAfterMs: number}
	| {kind: DispatchDecisionKind.NoHolder}
);
