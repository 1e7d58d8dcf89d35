/**
 * Origins of streams that their callers may still take up. Pure: the caller gives the time, monotonic ms.
 */

import {BoundedMap} from 'mastvalve-utils';
import type {StreamOrigin} from './stream-origin.js';

type KnownOrigin = {origin: StreamOrigin; recordedAt: number};

export class StreamOriginTable {
	private readonly origins: BoundedMap<string, KnownOrigin>;

	/** The origins recorded longest ago are dropped beyond `maxSize`. */
	constructor(maxSize: number) {
		this.origins = new BoundedMap(maxSize);
	}

	get size(): number {
		return this.origins.size;
	}

	/** Records an origin; the first record of a stream stays, since its first event came only once. */
	record(origin: StreamOrigin, now: number): void {
		if (!this.findOrigin(origin.key, now)) {
			this.origins.set(origin.key, {origin, recordedAt: now});
		}
	}

	/** Returns an origin with its times as they are now. */
	findOrigin(key: string, now: number): StreamOrigin | undefined {
		const known = this.origins.get(key);
		const aged = known && ageOrigin(known, now);
		return aged && aged.remainingMs > 0 ? aged : undefined;
	}

	/** Returns all origins with their times as they are now. */
	list(now: number): StreamOrigin[] {
		return this.origins.list().map(([, known]) => ageOrigin(known, now)).filter(({remainingMs}) => remainingMs > 0);
	}

	/** Drops the origins of streams that nobody takes up any more. */
	sweep(now: number): void {
		this.origins.list().forEach(([key]) => {
			if (!this.findOrigin(key, now)) {
				this.origins.delete(key);
			}
		});
	}
}

const ageOrigin = ({origin, recordedAt}: KnownOrigin, now: number): StreamOrigin => {
	const passedMs = Math.round(now - recordedAt);
	return {...origin, ageMs: origin.ageMs + passedMs, remainingMs: origin.remainingMs - passedMs};
};
