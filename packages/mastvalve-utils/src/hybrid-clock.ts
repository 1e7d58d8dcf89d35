/**
 * A hybrid logical clock: close to wall time, yet never before anything that is known to have happened earlier.
 * Source: Kulkarni et al., "Logical Physical Clocks", 2014.
 */

import type {ClockReading} from 'mastvalve-types';

/** Readings from other processes further ahead than this (ms) are not believed, so that one bad clock can't drag all others along. */
export const maxClockAheadMs = 60_000;

/** Orders two readings: negative when `a` is earlier. */
export const compareReadings = (a: ClockReading, b: ClockReading): number => a.wall - b.wall || a.counter - b.counter;

/** Writes a reading for a header. */
export const formatReading = (reading: ClockReading): string => `${reading.wall}.${reading.counter}`;

/** Reads a header; undefined when it isn't one. */
export const parseReading = (text: string | undefined): ClockReading | undefined => {
	const match = /^(?<wall>\d{1,15})\.(?<counter>\d{1,9})$/v.exec(text ?? '');
	return match?.groups ? {wall: Number(match.groups.wall), counter: Number(match.groups.counter)} : undefined;
};

/** One process's clock. */
export class HybridClock {
	private last: ClockReading = {wall: 0, counter: 0};

	constructor(private readonly wall: () => number) {}

	/** A reading for an event of this process or a message that leaves it. */
	tick(): ClockReading {
		const wall = Math.floor(this.wall());
		this.last = wall > this.last.wall ? {wall, counter: 0} : {wall: this.last.wall, counter: this.last.counter + 1};
		return this.last;
	}

	/** Takes in a reading that came with a message. */
	observe(reading: ClockReading | undefined): void {
		const believed = reading && reading.wall <= this.wall() + maxClockAheadMs;
		if (believed && compareReadings(reading, this.last) > 0) {
			this.last = reading;
		}
	}
}
