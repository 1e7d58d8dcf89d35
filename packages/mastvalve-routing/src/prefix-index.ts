/**
 * Which endpoints are believed to have which prompt prefixes in their cache: from what was sent there, corrected by
 * cache events, which come late and with gaps.
 */

import {hashToUint32} from 'mastvalve-utils';

/** Characters of one block of a prompt. */
const blockLength = 256;

/** Blocks of one prompt that are looked at. */
const maxBlocks = 16;

/** Hashes of a prompt's prefixes, shortest first. */
export const hashPrefixes = (model: string, prompt: string): number[] =>
	Array.from({length: Math.min(maxBlocks, Math.floor(prompt.length / blockLength))}, (_, index) =>
		hashToUint32(`${model}\n${prompt.slice(0, (index + 1) * blockLength)}`));

/** A bounded index; the oldest prefixes are forgotten first. */
export class PrefixIndex {
	private readonly holders = new Map<number, string>();

	constructor(private readonly capacity: number) {}

	/** An endpoint was sent a prompt. */
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

	/** Share of a prompt's prefixes that an endpoint is believed to hold. */
	shareOf(prefixes: readonly number[], endpointId: string): number {
		const held = prefixes.filter(prefix => this.holders.get(prefix) === endpointId).length;
		return prefixes.length === 0 ? 0 : held / prefixes.length;
	}

	/** An endpoint is gone or lost its cache. */
	forgetEndpoint(endpointId: string): void {
		[...this.holders].filter(([, holder]) => holder === endpointId).forEach(([prefix]) => {
			this.holders.delete(prefix);
		});
	}
}
