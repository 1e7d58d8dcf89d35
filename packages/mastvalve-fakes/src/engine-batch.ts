/**
 * Continuous batching of a stand-in engine: in each step every sequence in the batch gets one token; the most urgent
 * sequences are in the batch; a step takes longer the fuller the batch is; a prompt whose prefix is cached starts sooner.
 */

import {prioritiesByUrgency, type Priority} from 'mastvalve-types';

/** A sequence that is being generated. */
export type Sequence = {
	priority: Priority;
	/** Steps before the first token. */
	prefillSteps: number;
	/** Tokens still to come. */
	remaining: number;
	emit: () => void;
	end: () => void;
};

/** Options of a batch. Times in ms. */
export type EngineBatchOptions = {
	maxBatch: number;
	minStepMs: number;
	maxStepMs: number;
	/** How it waits for its next step; the bench hands in virtual time. */
	schedule?: (callback: () => void, ms: number) => void;
};

const scheduleTimer = (callback: () => void, ms: number): void => {
	setTimeout(callback, ms);
};

/** The batch. */
export class EngineBatch {
	private sequences: Sequence[] = [];
	private isScheduled = false;

	constructor(private readonly options: EngineBatchOptions) {}

	get size(): number {
		return this.sequences.length;
	}

	add(sequence: Sequence): void {
		this.sequences.push(sequence);
		this.schedule();
	}

	cancel(sequence: Sequence): void {
		this.sequences = this.sequences.filter(other => other !== sequence);
	}

	private schedule(): void {
		if (this.isScheduled || this.sequences.length === 0) {
			return;
		}

		const {maxBatch, minStepMs, maxStepMs} = this.options;
		const fill = Math.min(1, this.sequences.length / maxBatch);
		this.isScheduled = true;
		(this.options.schedule ?? scheduleTimer)(() => {
			this.isScheduled = false;
			this.step();
			this.schedule();
		}, minStepMs + ((maxStepMs - minStepMs) * fill));
	}

	private step(): void {
		const byUrgency = this.sequences.toSorted((a, b) => prioritiesByUrgency.indexOf(a.priority) - prioritiesByUrgency.indexOf(b.priority));
		byUrgency.slice(0, this.options.maxBatch).forEach(sequence => {
			if (sequence.prefillSteps > 0) {
				sequence.prefillSteps -= 1;
				return;
			}

			sequence.remaining -= 1;
			sequence.emit();
			if (sequence.remaining <= 0) {
				this.cancel(sequence);
				sequence.end();
			}
		});
	}
}
