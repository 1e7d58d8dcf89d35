/**
 * Engines that have failed recently, by the reports of all entries. A failure that one entry reports is taken into account for all.
 */

import type {PendingReading} from './engine-load.js';

/** Time for which an engine is suspect after a failure, ms; doubles with each consecutive one. */
const initialSuspicionMs = 400;
const maxSuspicionMs = 6000;
/** A prompt that takes longer than this many times the expected time, and longer than `stallMs`, indicates a stalled engine. */
const stallFactor = 4;
/** Longer than the longest slowdown of a healthy engine, ms. */
const stallMs = 1200;

type Suspicion = {until: number; failures: number};

export class EngineSuspicions {
	private readonly suspicions = new Map<string, Suspicion>();

	isSuspect(engine: string, now: number): boolean {
		return now < (this.suspicions.get(engine)?.until ?? Number.NEGATIVE_INFINITY);
	}

	/** Whether the prompt that an engine should have read first is far overdue. */
	isStalled(head: PendingReading['head']): boolean {
		return head !== undefined && head.readingMs > stallMs && head.readingMs > stallFactor * head.expectedMs;
	}

	recordFailure(engine: string, now: number): void {
		const failures = (this.suspicions.get(engine)?.failures ?? 0) + 1;
		this.suspicions.set(engine, {until: now + Math.min(maxSuspicionMs, initialSuspicionMs * (2 ** (failures - 1))), failures});
	}

	recordSuccess(engine: string): void {
		this.suspicions.delete(engine);
	}

	/** Forgets an engine that is gone. */
	dropEngine(engine: string): void {
		this.suspicions.delete(engine);
	}
}
