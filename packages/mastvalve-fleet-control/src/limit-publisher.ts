/**
 * Publishes the limits that endpoints announce to all entries through the log: entries that have not received an announcement
 * themselves must respect the limit too, and the next leader must know it.
 */

import {FleetCommandKind, type FleetCommand} from 'mastvalve-fleet';
import type {EndpointLimit} from 'mastvalve-limits';

export type LimitPublisherOptions = {
	listChanged: () => EndpointLimit[];
	/** Resolves to whether the command was committed. */
	propose: (command: FleetCommand) => Promise<boolean>;
	onEvent: (kind: string, detail: string) => void;
	/** Monotonic, ms. */
	now: () => number;
};

/** Minimum interval between records of a changed limit, ms: entries only need to know that a limit exists, and the leader counts with the newest value. */
const minChangeIntervalMs = 1000;

const describeLimit = ({endpoint, perSecond}: EndpointLimit): string =>
	(perSecond === undefined ? `${endpoint} no longer announces a limit` : `${endpoint} accepts ${perSecond} requests per second`);

export class LimitPublisher {
	private isPublishing = false;
	/** Time of the last record of a limit, by endpoint, ms. */
	private readonly publishedAt = new Map<string, number>();

	constructor(private readonly options: LimitPublisherOptions) {}

	/** Records the changed limits; does nothing while an earlier record is in progress. */
	async publish(): Promise<void> {
		const {listChanged, propose, onEvent, now} = this.options;
		const limits = this.isPublishing ? [] : listChanged().filter(limit => this.isDue(limit));
		if (limits.length === 0) {
			return;
		}

		this.isPublishing = true;
		const isRecorded = await propose({kind: FleetCommandKind.RecordLimits, limits}).finally(() => {
			this.isPublishing = false;
		});
		if (isRecorded) {
			limits.forEach(({endpoint, perSecond}) => {
				if (perSecond === undefined) {
					this.publishedAt.delete(endpoint);
				} else {
					this.publishedAt.set(endpoint, now());
				}
			});
			onEvent('endpoint.limited', limits.map(limit => describeLimit(limit)).join(', '));
		}
	}

	private isDue({endpoint, perSecond}: EndpointLimit): boolean {
		return perSecond === undefined || this.options.now() >= (this.publishedAt.get(endpoint) ?? Number.NEGATIVE_INFINITY) + minChangeIntervalMs;
	}
}
