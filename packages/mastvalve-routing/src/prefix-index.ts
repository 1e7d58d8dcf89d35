/**
 * Estimates which endpoints hold which prompt prefixes in their cache, from the prompts sent to them. Evictions there are not tracked,
 * since cache events arrive late and with gaps, so an entry of the index may be stale.
 */

import {hashToUint32} from 'mastvalve-utils';

/** Block length of hashed prefixes, characters. */
const blockChars = 256;

/** Blocks hashed per prompt; the rest of a longer prompt is ignored. */
const maxBlocks = 16;

/** Hashes the prefixes of a prompt that end at block boundaries, shortest first. A partial last block is ignored. */
export const hashPrefixes = (model: string, prompt: string): number[] =>
	Array.from({length: Math.min(maxBlocks, Math.floor(prompt.length / blockChars))}, (_, index) =>
		hashToUint32(`${model}\n${prompt.slice(0, (index + 1) * blockChars)}`));

/** Maps prefixes to the endpoint that they were last sent to. Evicts the least recently sent prefixes above `capacity`. */
export class PrefixIndex {
	private readonly holders = new Map<number, string>();

	constructor(private readonly capacity: number) {}

	/** Records that a prompt with these prefixes was sent to an endpoint. */
	record(prefixes: readonly number[], endpointId: string): void {
		prefixes.forEach(prefix => {
			this.holders.delete(prefix);
			this.holders.set(prefix, endpointId);
		});
		const surplus = this.holders.size - this.capacity;
		[...this.holders.keys()].slice(0, Math.max(0, surplus)).forEach(prefix => {
			this.holders.delete(prefix);
		});
	}

	/** Returns the share of a prompt's prefixes that were last sent to an endpoint, 0 to 1. */
	computeHeldShare(prefixes: readonly number[], endpointId: string): number {
		const held = prefixes.filter(prefix => this.holders.get(prefix) === endpointId).length;
		return prefixes.length === 0 ? 0 : held / prefixes.length;
	}

	/** Removes an endpoint that is gone or has lost its cache. */
	removeEndpoint(endpointId: string): void {
		[...this.holders].filter(([, holder]) => holder === endpointId).forEach(([prefix]) => {
			this.holders.delete(prefix);
		});
	}
}
