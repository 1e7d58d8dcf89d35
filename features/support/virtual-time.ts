/**
 * Time that goes on only when the test says so.
 */

import type {Clock} from 'mastvalve-utils';

type Timer = {at: number; resolve: () => void};

/** A clock with its timers. */
export class VirtualTime {
	readonly clock: Clock = {now: () => this.ms, wall: () => this.ms};
	private ms = 0;
	private timers: Timer[] = [];

	wait = async (ms: number): Promise<void> =>
		new Promise(resolve => {
			this.timers.push({at: this.ms + ms, resolve});
		});

	/** Lets time go on, timer by timer. */
	async advance(ms: number): Promise<void> {
		const end = this.ms + ms;
		await settle();
		let next = this.takeNext(end);
		while (next) {
			this.ms = Math.max(this.ms, next.at);
			next.resolve();
			// Each timer may set others.
			// eslint-disable-next-line no-await-in-loop
			await settle();
			next = this.takeNext(end);
		}

		this.ms = end;
	}

	private takeNext(end: number): Timer | undefined {
		const next = this.timers.toSorted((a, b) => a.at - b.at)[0];
		if (!next || next.at > end) {
			return undefined;
		}

		this.timers = this.timers.filter(timer => timer !== next);
		return next;
	}
}

/** Lets all promises that can go on do so. */
const settle = async (): Promise<void> =>
	new Promise(resolve => {
		setImmediate(resolve);
	});
