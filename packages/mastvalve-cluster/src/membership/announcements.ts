/**
 * Who has asked lately to be taken into the membership of the replicated log.
 */

import {getInstanceName, type ReplicaId} from 'mastvalve-replication';

/** An instance that asks to be taken in. */
export type Announcement = {id: ReplicaId; mayBegin: boolean};

/** Whoever asked to join this long ago still wants to, ms: several rounds of announcing. */
const joiningMs = 2000;

/** The announcements. */
export class Announcements {
	private readonly heardAt = new Map<ReplicaId, number>();

	constructor(private readonly now: () => number) {}

	hear({id}: Announcement): void {
		this.heardAt.set(id, this.now());
	}

	/** Identities that want to join. */
	listJoining(): ReplicaId[] {
		const from = this.now() - joiningMs;
		[...this.heardAt].filter(([, at]) => at <= from).forEach(([id]) => {
			this.heardAt.delete(id);
		});
		return [...this.heardAt.keys()];
	}

	/** Addresses of those that want to join. */
	listAddresses(): string[] {
		return this.listJoining().map(getInstanceName);
	}
}
