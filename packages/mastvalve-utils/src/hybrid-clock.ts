/**
 * A hybrid logical clock: its readings stay close to wall time and respect the causal order of events.
 * Source: Kulkarni et al., "Logical Physical Clocks", 2014.
 */

import type {ClockReading} from 'mastvalve-types';

/** Maximum lead of a remote reading over the local wall clock, ms. Readings beyond it are ignored, so that one faulty clock cannot advance all others. */
export const maxClockAheadMs = 60_000;

/** Compares two readings. Negative when `a` is earlier. */
export const compareReadings = (a: ClockReading, b: ClockReading): number => a.wall - b.wall || a.counter - b.counter;

/** Formats a reading as a header value, `<wall>.<counter>`. */
export const formatReading = (reading: ClockReading): string => `${reading.wall}.${reading.counter}`;

/** Parses a header value. Returns undefined when it is missing or malformed. */
export const parseReading = (text: string | undefined): ClockReading | undefined => {
	const match = /^(?<wall>\d{1,15})\.(?<counter>\d{1,9})$/v.exec(text ?? '');
	return match?.groups ? {wall: Number(match.groups.wall), counter: Number(match.groups.counter)} : undefined;
};

/** The hybrid logical clock of one process. */
export class HybridClock {
	private last: ClockReading = {wall: 0, counter: 0};

	constructor(private readonly wall: () => number) {}

	/** Advances the clock for a local event or an outgoing message and returns the new reading. */
	tick(): ClockReading {
		const wall = Math.floor(this.wall());
		this.last = wall > this.last.wall ? {wall, counter: 0} : {wall: this.last.wall, counter: this.last.counter + 1};
		return this.last;
	}

	/** Merges the reading of a received message. */
	observe(reading: ClockReading | undefined): void {
		const isAccepted = reading && reading.wall <= this.wall() + maxClockAheadMs;
		if (isAccepted && compareReadings(reading, this.last) > 0) {
			this.last = reading;
		}
	}
}
