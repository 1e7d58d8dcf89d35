/**
 * Work in progress at one engine: prompts that are queued or read, and answers that are generated.
 */

import type {EngineRun} from './engine-run.js';
import {SharedTokens} from './shared-tokens.js';

/** Decay time constant of the rate of disturbances, ms: about as long as a long answer takes. */
const disturbanceDecayMs = 3000;
const msPerSecond = 1000;
/** Share of the prompt in reading that counts as unread until the first byte arrives, even if that is overdue. */
const minUnreadShare = 0.1;

/** Estimates the time to read the prompt of a run, ms. */
export type ReadEstimate = (run: EngineRun) => number;

const countOwnTokens = ({claim, prefixes}: EngineRun): number =>
	claim.promptTokens + claim.outputTokens - prefixes.reduce((sum, {tokens}) => sum + tokens, 0);

/** What an engine has to read. */
export type PendingReading = {
	/** Time until all prompts that were assigned are read, ms. */
	pendingMs: number;
	/** Time until those are read that a request can't overtake, ms. */
	aheadMs: number;
	/** The prompt that it should read now: for how long it has been reading since it finished another, and the expected time, ms. */
	head?: {readingMs: number; expectedMs: number};
};

const idle: PendingReading = {pendingMs: 0, aheadMs: 0};

export class EngineLoad {
	private readonly queue = new Map<string, EngineRun>();
	private readonly batch = new Map<string, EngineRun>();
	private readonly batchByPause = new Map<number, number>();
	private readonly shared = new SharedTokens();
	private ownTokenCount = 0;
	/** When the engine last finished reading a prompt, ms. */
	private lastReadAt = Number.NEGATIVE_INFINITY;
	private disturbance = {amount: 0, at: 0};

	get size(): number {
		return this.queue.size + this.batch.size;
	}

	/** Number of runs whose prompt is queued or read. */
	get queuedCount(): number {
		return this.queue.size;
	}

	/** Number of answers that are generated, by their objective for pauses; those without one are left out. */
	get generatingByPause(): ReadonlyMap<number, number> {
		return this.batchByPause;
	}

	/** Tokens that its runs need at most, with shared parts of their prompts counted once. */
	get tokens(): number {
		return this.ownTokenCount + this.shared.size;
	}

	/** Tokens that its runs need without the shared parts of their prompts. */
	get ownTokens(): number {
		return this.ownTokenCount;
	}

	/**
	 * Describes what the engine has to read, as a request with this urgency sees it.
	 *
	 * The prompt in reading goes first whatever its urgency. All others are counted whole, so an engine that is slower than expected
	 * isn't taken for idle.
	 */
	describePending(urgency: number, now: number, msOf: ReadEstimate): PendingReading {
		let head: EngineRun | undefined;
		let allMs = 0;
		let aheadMs = 0;
		for (const run of this.queue.values()) {
			const ms = msOf(run);
			head = head === undefined || run.claim.urgency < head.claim.urgency ? run : head;
			allMs += ms;
			aheadMs += run.claim.urgency <= urgency ? ms : 0;
		}

		if (!head) {
			return idle;
		}

		const headMs = msOf(head);
		const readingMs = this.readingMs(head, now);
		const doneMs = Math.min(readingMs, headMs * (1 - minUnreadShare));
		return {
			pendingMs: allMs - doneMs, aheadMs: (head.claim.urgency <= urgency ? aheadMs : aheadMs + headMs) - doneMs, head: {readingMs, expectedMs: headMs},
		};
	}

	/** Rate at which prompts have recently disturbed the answers that the engine generates, per second. */
	disturbanceRate(now: number): number {
		return this.disturbance.amount * Math.exp(-(now - this.disturbance.at) / disturbanceDecayMs) / (disturbanceDecayMs / msPerSecond);
	}

	/** Adds a run; `disturbance` is the share of answers that reading its prompt is expected to interrupt for too long. */
	add(run: EngineRun, disturbance: number, now: number): void {
		if (run.beganAt === undefined) {
			this.queue.set(run.claim.id, run);
		} else {
			this.addToBatch(run);
		}

		this.ownTokenCount += countOwnTokens(run);
		this.shared.add(run.prefixes);
		this.disturbance = {amount: (this.disturbanceRate(now) * (disturbanceDecayMs / msPerSecond)) + disturbance, at: now};
	}

	/** Records that the prompt of a run was read; returns how long that took without the time in the queue, ms. */
	recordFirstByte(run: EngineRun, at: number): number {
		const readMs = this.readingMs(run, at);
		run.beganAt = at;
		this.queue.delete(run.claim.id);
		this.addToBatch(run);
		this.lastReadAt = Math.max(this.lastReadAt, at);
		return readMs;
	}

	/** Removes a run that has ended. */
	remove(run: EngineRun): void {
		const wasGenerating = this.batch.delete(run.claim.id);
		if (wasGenerating) {
			this.countPause(run, -1);
		}

		if (wasGenerating || this.queue.delete(run.claim.id)) {
			this.ownTokenCount -= countOwnTokens(run);
			this.shared.remove(run.prefixes);
		}
	}

	private addToBatch(run: EngineRun): void {
		this.batch.set(run.claim.id, run);
		this.countPause(run, 1);
	}

	private countPause({claim: {pauseMs}}: EngineRun, change: number): void {
		if (pauseMs === undefined) {
			return;
		}

		const count = (this.batchByPause.get(pauseMs) ?? 0) + change;
		if (count > 0) {
			this.batchByPause.set(pauseMs, count);
		} else {
			this.batchByPause.delete(pauseMs);
		}
	}

	private readingMs(run: EngineRun, now: number): number {
		return now - Math.max(run.assignedAt, this.lastReadAt);
	}
}
