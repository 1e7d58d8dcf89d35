/**
 * Counts the crashes under parts of prompts that an entry has seen since control was last heard: control has not counted them.
 */

import {BoundedMap} from 'mastvalve-utils';

/** Maximum number of parts. */
const maxParts = 1000;

export class SilentCrashes {
	/** Crashes by part, with the time at which control had last been heard; monotonic ms. */
	private readonly counts = new BoundedMap<string, {heardAt: number; count: number}>(maxParts);

	/** `readHeardAt` returns when control was last heard, monotonic ms. */
	constructor(private readonly readHeardAt: () => number) {}

	record(fingerprint: string): void {
		this.counts.set(fingerprint, {heardAt: this.readHeardAt(), count: this.count(fingerprint) + 1});
	}

	count(fingerprint: string): number {
		const known = this.counts.get(fingerprint);
		return known?.heardAt === this.readHeardAt() ? known.count : 0;
	}
}
