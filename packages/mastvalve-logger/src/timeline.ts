/**
 * The timeline of one process: its most recent events, each with a reading of the hybrid logical clock.
 */

import type {InstanceIdentity, TimelineEvent} from 'mastvalve-types';
import {compareReadings, type HybridClock} from 'mastvalve-utils';
import type {Logger} from './logger.js';

/** Number of events that a process retains in memory. Older events are available in its logs only. */
export const timelineCapacity = 2000;

/** Retains the latest events in a ring buffer and logs each of them. */
export class Timeline {
	private readonly ring: TimelineEvent[] = [];
	private next = 0;

	constructor(
		readonly identity: InstanceIdentity,
		readonly clock: HybridClock,
		private readonly logger?: Logger,
		private readonly capacity = timelineCapacity,
	) {}

	/** Records one event. `kind` has the form `noun.verb`, `detail` is a sentence for operators. */
	record(kind: string, detail: string, requestId?: string): void {
		const event: TimelineEvent = {
			clock: this.clock.tick(), ...this.identity, kind, detail, ...(requestId ? {requestId} : {}),
		};
		this.ring[this.next % this.capacity] = event;
		this.next += 1;
		this.logger?.info({kind, ...(requestId ? {requestId} : {})}, detail);
	}

	/** Returns the retained events, oldest first, optionally only those of one request. */
	read(requestId?: string): TimelineEvent[] {
		return mergeTimelines([this.ring]).filter(event => !requestId || event.requestId === requestId);
	}
}

/** Merges the events of several processes in causal order. */
export const mergeTimelines = (timelines: readonly TimelineEvent[][]): TimelineEvent[] =>
	timelines.flat().toSorted((a, b) => compareReadings(a.clock, b.clock));
