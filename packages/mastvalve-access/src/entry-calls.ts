/**
 * When entries last called the leader. Times are monotonic, ms.
 */

import {silentAfterMs, unreportedGrantMs} from './grant-times.js';

export class EntryCalls {
	/** In the order of the calls. */
	private readonly calledAt = new Map<string, number>();

	constructor(private readonly windowMs: number) {}

	/** Records a call, and forgets entries whose grants no longer count. */
	note(entry: string, now: number): void {
		this.calledAt.delete(entry);
		this.calledAt.set(entry, now);
		this.forgetOldest(now);
	}

	/** Returns the time of the last call of an entry that was silent at a time; undefined for others, and for those that are forgotten. */
	findSilentSince(entry: string, at: number): number | undefined {
		const calledAt = this.calledAt.get(entry);
		return calledAt !== undefined && at >= calledAt + silentAfterMs ? calledAt : undefined;
	}

	/** Whether an entry has called since a time. */
	hasCalledSince(entry: string, at: number): boolean {
		return (this.calledAt.get(entry) ?? at) > at;
	}

	/** Returns the time at which all that an entry granted itself after its last call has left the window. */
	computeEnd(calledAt: number): number {
		return calledAt + unreportedGrantMs + this.windowMs;
	}

	/** Forgets one entry at most: each call adds at most one. */
	private forgetOldest(now: number): void {
		const [oldest] = this.calledAt.entries();
		if (oldest && now >= this.computeEnd(oldest[1])) {
			this.calledAt.delete(oldest[0]);
		}
	}
}
