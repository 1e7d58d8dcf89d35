/**
 * One request of a replay, from its arrival at an entry to its end.
 */

import type {DispatchClaim} from '../../src/index.js';

export class ReplayedRun {
	sentAt = 0;
	hasStarted = false;
	unreadTokens = 0;
	/** Tokens at the start of its prompt that its engine has after a copy. */
	copiedTokens = 0;
	/** When its copy ends, ms. */
	copiedAt = 0;
	generated = 0;
	beganAt: number | undefined;
	lastEventAt = 0;
	endedAt: number | undefined;
	longestPauseMs = 0;
	isRefused = false;
	retryAfterMs: number | undefined;
	engine: string | undefined;

	constructor(readonly kind: string, readonly arrivedAt: number, readonly claim: DispatchClaim) {}

	get firstByteMs(): number {
		return (this.beganAt ?? Number.POSITIVE_INFINITY) - this.arrivedAt;
	}

	get isInTime(): boolean {
		return this.firstByteMs <= this.claim.targetMs;
	}

	/** Whether its first byte was in time, and a pause was too long. */
	get isInterrupted(): boolean {
		return this.isInTime && this.longestPauseMs > (this.claim.pauseMs ?? Number.POSITIVE_INFINITY);
	}

	get isInObjective(): boolean {
		return this.isInTime && !this.isInterrupted;
	}
}
