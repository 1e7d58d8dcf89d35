/**
 * Time that passes only when events do, so that a run is quick and repeats exactly.
 */

import type {Clock} from 'mastvalve-utils';

type Event = {at: number; order: number; run: () => void};

const parentOf = (index: number): number => Math.floor((index - 1) / 2);

/** A queue of events in virtual time, ms. */
export class VirtualTime implements Clock {
	private heap: Event[] = [];
	private time = 0;
	private count = 0;

	readonly now = (): number => this.time;

	readonly wall = (): number => this.time;

	readonly schedule = (run: () => void, ms: number): void => {
		this.count += 1;
		this.push({at: this.time + Math.max(0, ms), order: this.count, run});
	};

	/** Repeats a callback. */
	repeat(ms: number, run: () => void): void {
		this.schedule(() => {
			run();
			this.repeat(ms, run);
		}, ms);
	}

	/** Runs all events up to a time. */
	runUntil(end: number): void {
		for (let next = this.heap[0]; next && next.at <= end; next = this.heap[0]) {
			this.pop();
			this.time = next.at;
			next.run();
		}

		this.time = end;
	}

	private isBefore(a: number, b: number): boolean {
		const [first, second] = [this.heap[a], this.heap[b]];
		return first !== undefined && second !== undefined && (first.at < second.at || (first.at === second.at && first.order < second.order));
	}

	private swap(a: number, b: number): void {
		const [first, second] = [this.heap[a], this.heap[b]];
		if (first && second) {
			this.heap[a] = second;
			this.heap[b] = first;
		}
	}

	private push(event: Event): void {
		let index = this.heap.push(event) - 1;
		while (index > 0 && this.isBefore(index, parentOf(index))) {
			this.swap(index, parentOf(index));
			index = parentOf(index);
		}
	}

	private pop(): void {
		const last = this.heap.pop();
		if (!last || this.heap.length === 0) {
			return;
		}

		this.heap[0] = last;
		let index = 0;
		for (;;) {
			const left = (2 * index) + 1;
			const child = this.isBefore(left + 1, left) ? left + 1 : left;
			if (!this.isBefore(child, index)) {
				return;
			}

			this.swap(index, child);
			index = child;
		}
	}
}
