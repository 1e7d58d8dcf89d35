/**
 * The rate-limited weight store in virtual time.
 */

import type {VirtualTime} from './virtual-time.js';

/** Starts so many loads a second; so many run at full speed. */
export class VirtualStore {
	slowdown = 1;
	private nextStartAt = 0;
	private running = 0;

	constructor(private readonly time: VirtualTime, private readonly loadsPerSecond: number, private readonly parallelLoads: number) {}

	/** Loads weights; `done` is called when they are there. */
	load(loadMs: number, done: () => void): void {
		const startAt = Math.max(this.time.now(), this.nextStartAt);
		this.nextStartAt = startAt + ((1000 / this.loadsPerSecond) * this.slowdown);
		this.time.schedule(() => {
			this.running += 1;
			const shared = Math.max(1, this.running / this.parallelLoads);
			this.time.schedule(() => {
				this.running -= 1;
				done();
			}, loadMs * shared * this.slowdown);
		}, startAt - this.time.now());
	}
}
