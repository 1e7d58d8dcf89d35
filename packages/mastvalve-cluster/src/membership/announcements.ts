/**
 * Recent requests to join the membership of the replicated log.
 */

import {getInstanceName, type ReplicaId} from 'mastvalve-replication';

/** A request of an instance to join. */
export type Announcement = {id: ReplicaId; mayBegin: boolean};

/** Lifetime of an announcement, ms; covers several announcement intervals. */
const announcementTtlMs = 2000;

export class Announcements {
	private readonly receivedAt = new Map<ReplicaId, number>();

	constructor(private readonly now: () => number) {}

	record({id}: Announcement): void {
		this.receivedAt.set(id, this.now());
	}

	/** Removes expired announcements and returns the replicas that want to join. */
	listJoiningIds(): ReplicaId[] {
		const expiresBefore = this.now() - announcementTtlMs;
		[...this.receivedAt].filter(([, at]) => at <= expiresBefore).forEach(([id]) => {
			this.receivedAt.delete(id);
		});
		return [...this.receivedAt.keys()];
	}

	listAddresses(): string[] {
		return this.listJoiningIds().map(getInstanceName);
	}
}
