/**
 * The time line of one process: its latest events, each with a reading of the hybrid logical clock.
 */

import type {InstanceIdentity, TimelineEvent} from 'mastvalve-types';
import {compareReadings, type HybridClock} from 'mastvalve-utils';
import type {Logger} from './logger.js';

/** Events that a process keeps; older ones are only in its logs. */
export const timelineCapacity = 2000;

/** Keeps and logs events. */
export class Timeline {
	private readonly ring: TimelineEvent[] = [];
	private next = 0;

	constructor(
		readonly identity: InstanceIdentity,
		readonly clock: HybridClock,
		private readonly logger?: Logger,
		private readonly capacity = timelineCapacity,
	) {}

	/** Records one event: `kind` as `noun.verb`, `detail` in plain words. */
	record(kind: string, detail: string, requestId?: string): void {
		const event: TimelineEvent = {
			clock: this.clock.tick(), ...this.identity, kind, detail, ...(requestId ? {requestId} : {}),
		};
		this.ring[this.next % this.capacity] = event;
		this.next += 1;
		this.logger?.info({kind, ...(requestId ? {requestId} : {})}, detail);
	}

	/** The kept events, oldest first; of one request if `requestId` is given. */
	read(requestId?: string): TimelineEvent[] {
		return mergeTimelines([this.ring]).filter(event => !requestId || event.requestId === requestId);
	}
}

/** Merges events of many processes in causal order. */
export const mergeTimelines = (timelines: readonly TimelineEvent[][]): TimelineEvent[] =>
	timelines.flat().toSorted((a, b) => compareReadings(a.clock, b.clock));
