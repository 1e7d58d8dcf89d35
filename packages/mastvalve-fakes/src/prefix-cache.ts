/**
 * The prefix cache of a stand-in engine, with its late and gappy events.
 */

import {hashToUint32, type Random} from 'mastvalve-utils';

/** Characters of one block. */
const blockLength = 256;

/** An event of the cache. */
export type CacheEvent = {sequence: number; kind: 'stored' | 'evicted'; block: number; at: number};

/** Kept events. */
const maxEvents = 500;

/** The cache. */
export class PrefixCache {
	private readonly blocks = new Set<number>();
	private events: CacheEvent[] = [];
	private sequence = 0;

	/** `lossShare` of the events is never published; the others come after `lagMs`. */
	constructor(private readonly capacity: number, private readonly lagMs: number, private readonly lossShare: number, private readonly random: Random) {}

	/** Stores a prompt; how many of its blocks were there already, and how many it has. */
	store(model: string, prompt: string, now: number): {cached: number; total: number} {
		const total = Math.floor(prompt.length / blockLength);
		const blocks = Array.from({length: total}, (_, index) => hashToUint32(`${model}\n${prompt.slice(0, (index + 1) * blockLength)}`));
		const missing = blocks.findIndex(block => !this.blocks.has(block));
		blocks.forEach(block => {
			if (!this.blocks.delete(block)) {
				this.publish('stored', block, now);
			}

			this.blocks.add(block);
		});
		[...this.blocks].slice(0, Math.max(0, this.blocks.size - this.capacity)).forEach(block => {
			this.blocks.delete(block);
			this.publish('evicted', block, now);
		});
		return {cached: missing === -1 ? total : missing, total};
	}

	/** Published events after a sequence. */
	read(after: number, now: number): CacheEvent[] {
		return this.events.filter(event => event.sequence > after && event.at + this.lagMs <= now);
	}

	private publish(kind: CacheEvent['kind'], block: number, now: number): void {
		this.sequence += 1;
		if (this.random() >= this.lossShare) {
			this.events = [...this.events, {
				sequence: this.sequence, kind, block, at: now,
			}].slice(-maxEvents);
		}
	}
}
