/**
 * Maintains the membership of a group: an instance outside it announces that it wants to join, and the leader changes the
 * membership by one replica at a time.
 */

import {planNextMembership, type LogNode, type ReplicaId} from 'mastvalve-replication';
import type {Clock} from 'mastvalve-utils';
import type {Announcements} from './announcements.js';
import type {PeerDiscovery} from './peer-discovery.js';

export type MembershipManagerOptions = {
	ownId: ReplicaId;
	node: LogNode;
	discovery: PeerDiscovery;
	announcements: Announcements;
	clock: Clock;
	/** Target number of voters. */
	voterCount: number;
	/** Whether this instance receives messages of a leader. */
	isCurrent: () => boolean;
	listMemberAddresses: () => string[];
	onEvent: (kind: string, detail: string) => void;
};

/** A voter that acknowledges nothing for this long is replaced by a learner that is caught up, ms: the shortest time after which an instance counts as lost. */
const voterTimeoutMs = 2500;

export class MembershipManager {
	constructor(private readonly options: MembershipManagerOptions) {}

	/** Announces that this instance wants to join, unless it is a member and receives messages of a leader. */
	async announce(): Promise<void> {
		const {ownId, node, discovery, announcements, isCurrent, listMemberAddresses} = this.options;
		const {voters, learners} = node.replica.currentMembership;
		const isMember = [...voters, ...learners].includes(ownId);
		if (isMember && isCurrent()) {
			return;
		}

		discovery.addPeers([...listMemberAddresses(), ...announcements.listAddresses()]);
		await discovery.identifyPeers();
		await discovery.announce({id: ownId, mayBegin: false});
	}

	/** As the leader, proposes the next membership change, one at a time; does nothing on other instances. */
	async changeMembership(): Promise<void> {
		const {ownId, node, announcements, clock, voterCount, onEvent} = this.options;
		const now = clock.now();
		if (!node.hasLinearizableState() || node.replica.hasUncommittedMembership) {
			return;
		}

		const next = planNextMembership(node.replica.currentMembership, announcements.listJoiningIds(), id => node.replica.isCaughtUp(id, now), {
			maxVoters: voterCount,
			isUnresponsive: id => id !== ownId && now - Math.max(node.replica.acknowledgedAt(id), node.replica.leaderSince) > voterTimeoutMs,
		});
		if (next) {
			const result = await node.proposeMembership(next);
			onEvent('membership.changed', `${result.isOk() ? 'voters' : 'not committed: voters'} ${next.voters.join(', ')}; learners ${next.learners.join(', ') || 'none'}`);
		}
	}
}
