/**
 * Tells all entries, through the log, which endpoints have named which limits: an entry that has not heard a limit itself must keep to
 * it too, and the next leader must know it.
 */

import {FleetCommandKind, type FleetCommand} from 'mastvalve-fleet';
import type {EndpointLimit} from 'mastvalve-limits';

/** What it is made from. */
export type LimitPublisherOptions = {
	listChanged: () => EndpointLimit[];
	/** Whether the command was committed. */
	propose: (command: FleetCommand) => Promise<boolean>;
	onEvent: (kind: string, detail: string) => void;
	/** Monotonic, ms. */
	now: () => number;
};

/** A limit that only changes is recorded anew after this time at the earliest, ms: entries need to know that there is one, and the leader counts by the newest. */
const changePauseMs = 1000;

const describeLimit = ({endpoint, perSecond}: EndpointLimit): string =>
	(perSecond === undefined ? `${endpoint} names none any more` : `${endpoint} takes ${perSecond} requests a second`);

/** The publisher. */
export class LimitPublisher {
	private isPublishing = false;
	/** When a limit was last recorded, by endpoint, ms. */
	private readonly publishedAt = new Map<string, number>();

	constructor(private readonly options: LimitPublisherOptions) {}

	/** Records what has changed, one record after the other. */
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
		return perSecond === undefined || this.options.now() >= (this.publishedAt.get(endpoint) ?? Number.NEGATIVE_INFINITY) + changePauseMs;
	}
}
