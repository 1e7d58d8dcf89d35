/**
 * A request for which an entry asks the leader to choose an engine.
 */

/** A part of a prompt that other requests may share, in the order of the prompt. */
export type PromptPart = {id: string; tokens: number};

/** Times are relative to the call that carries the claim, since instances share no clock. */
export type DispatchClaim = {
	/** Unique over all entries. */
	id: string;
	service: string;
	model: string;
	adapter?: string;
	/** Absent for an anonymous caller. */
	workspace?: string;
	promptTokens: number;
	promptParts: PromptPart[];
	/** Expected tokens of the answer. */
	outputTokens: number;
	/** 0 is the most urgent. */
	urgency: number;
	/** Remaining time until the first byte is late; negative once it is, ms. */
	objectiveMs: number;
	/** The whole objective of the route for the first byte, ms. */
	targetMs: number;
	/** Remaining time until the caller gives up if the answer has not begun, ms. */
	remainingMs: number;
	/** Remaining time until the request has ended at the latest, ms; absent if an answer that has begun gets no more time. */
	endMs?: number;
	/** Longest pause between two events of an answer in time, ms; absent if the route sets none. */
	pauseMs?: number;
	/** Endpoints that the entry rules out: it has tried them, or they have failed it. */
	excluded: string[];
};

/** Returns a claim with its times as they are some ms later. */
export const ageClaim = (claim: DispatchClaim, ms: number): DispatchClaim => ({
	...claim, objectiveMs: claim.objectiveMs - ms, remainingMs: claim.remainingMs - ms, endMs: claim.endMs === undefined ? undefined : claim.endMs - ms,
});
