/**
 * Forecasts when waiting claims are read, if they are served in their order by the first of their engines that becomes free.
 */

import type {AssignmentInput} from './estimate-cost.js';
import {deadlineAt, type WaitingClaim} from './waiting-claim.js';

export class QueueForecast {
	/** When engines have read all that is before the next claim. */
	private readonly freeAt = new Map<string, number>();

	constructor(private readonly now: number) {}

	/** Adds the next claim; returns by how much its first byte would miss the caller's deadline, ms, or 0. */
	add(waiting: WaitingClaim, inputs: readonly AssignmentInput[]): number {
		let first: AssignmentInput | undefined;
		let firstAt = Number.POSITIVE_INFINITY;
		inputs.forEach(input => {
			const at = this.freeAt.get(input.candidate.id) ?? this.now + input.pending.pendingMs;
			this.freeAt.set(input.candidate.id, at);
			if (at < firstAt) {
				firstAt = at;
				first = input;
			}
		});
		if (!first) {
			return Math.max(0, this.now + waiting.readMs - deadlineAt(waiting));
		}

		const missMs = firstAt + waiting.readMs - deadlineAt(waiting);
		if (missMs > 0) {
			return missMs;
		}

		this.freeAt.set(first.candidate.id, firstAt + waiting.readMs);
		return 0;
	}
}
