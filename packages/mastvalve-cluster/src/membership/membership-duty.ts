/**
 * What keeps the membership of a group right: an instance that is outside asks to be taken in, and the leader changes the
 * membership by one replica at a time.
 */

import {planNextMembership, type LogNode, type ReplicaId} from 'mastvalve-replication';
import type {Clock} from 'mastvalve-utils';
import type {Announcements} from './announcements.js';
import type {PeerSearch} from './peer-search.js';

/** What the duty is made from. */
export type MembershipDutyOptions = {
	ownId: ReplicaId;
	node: LogNode;
	search: PeerSearch;
	announcements: Announcements;
	clock: Clock;
	/** How many voters are wanted. */
	voterCount: number;
	/** Whether this instance hears a leader. */
	isCurrent: () => boolean;
	/** Addresses of all members. */
	listMembers: () => string[];
	onEvent: (kind: string, detail: string) => void;
};

/** A voter that has been silent for this long gives way to one that is caught up, ms: the shortest time after which machines count as lost. */
const silentMs = 2500;

/** The duty. */
export class MembershipDuty {
	constructor(private readonly options: MembershipDutyOptions) {}

	/** Asks to be taken into the membership as long as this instance isn't in it, or hears nothing of a leader. */
	async announce(): Promise<void> {
		const {ownId, node, search, announcements, isCurrent, listMembers} = this.options;
		const {voters, learners} = node.replica.currentMembership;
		const isMember = [...voters, ...learners].includes(ownId);
		if (isMember && isCurrent()) {
			return;
		}

		search.learn([...listMembers(), ...announcements.listAddresses()]);
		await search.ask();
		await search.announce({id: ownId, mayBegin: false});
	}

	/** The leader's part: one change at a time. */
	async changeMembership(): Promise<void> {
		const {ownId, node, announcements, clock, voterCount, onEvent} = this.options;
		const now = clock.now();
		if (!node.hasLinearizableState() || node.replica.hasUncommittedMembership) {
			return;
		}

		const next = planNextMembership(node.replica.currentMembership, announcements.listJoining(), id => node.replica.isCaughtUp(id, now), {
			maxVoters: voterCount,
			isUnresponsive: id => id !== ownId && now - Math.max(node.replica.acknowledgedAt(id), node.replica.leaderSince) > silentMs,
		});
		if (next) {
			const result = await node.proposeMembership(next);
			onEvent('membership.changed', `${result.isOk() ? 'voters' : 'not committed: voters'} ${next.voters.join(', ')}; learners ${next.learners.join(', ') || 'none'}`);
		}
	}
}
