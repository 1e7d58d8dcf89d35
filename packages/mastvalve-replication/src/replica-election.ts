/**
 * Elections: pre-votes, votes, and the conditions for refusing them (Ongaro's thesis, 2014, sections 3.4, 4.2.3, 9.6).
 */

import {quorumSize} from './membership.js';
import {MessageKind, type VoteRequest, type VoteResponse} from './message.js';
import {Role, type ReplicaCore} from './replica-core.js';
import {becomeLeader, computeLeaseEnd} from './replica-leadership.js';

const responseKind = (kind: VoteRequest['kind']): VoteResponse['kind'] =>
	(kind === MessageKind.PreVoteRequest ? MessageKind.PreVoteResponse : MessageKind.VoteResponse);

/** Asks the other voters whether an election could be won, before incrementing the term. */
export const startPreVote = (core: ReplicaCore, now: number): void => {
	core.role = Role.PreCandidate;
	core.leader = undefined;
	core.resetElectionTimer(now);
	collectVotes(core, MessageKind.PreVoteRequest, core.term + 1, false, now);
};

/** Starts an election in the next term; `transfer` marks one that the leader requested. */
export const startElection = (core: ReplicaCore, now: number, transfer: boolean): void => {
	core.role = Role.Candidate;
	core.leader = undefined;
	core.setHardState({term: core.term + 1, votedFor: core.id});
	core.resetElectionTimer(now);
	collectVotes(core, MessageKind.VoteRequest, core.term, transfer, now);
};

const collectVotes = (core: ReplicaCore, kind: VoteRequest['kind'], term: number, transfer: boolean, now: number): void => {
	core.votes = new Set([core.id]);
	core.membership.voters.filter(id => id !== core.id).forEach(to => {
		core.send({
			kind, to, term, lastIndex: core.lastIndex, lastTerm: core.log.lastTerm, transfer,
		});
	});
	countVotes(core, now);
};

const countVotes = (core: ReplicaCore, now: number): void => {
	const granted = core.membership.voters.filter(id => core.votes.has(id)).length;
	if (granted < quorumSize(core.membership)) {
		return;
	}

	if (core.role === Role.PreCandidate) {
		startElection(core, now, false);
	} else {
		becomeLeader(core, now);
	}
};

/** Whether granting a vote could violate a lease that depends on this replica. */
export const isDisruptive = (core: ReplicaCore, message: VoteRequest, now: number): boolean => {
	const withheldUntil = core.role === Role.Leader ? computeLeaseEnd(core, now) : core.votesWithheldUntil;
	return !message.transfer && now < withheldUntil;
};

export const refuseVote = (core: ReplicaCore, message: VoteRequest): void => {
	core.send({kind: responseKind(message.kind), to: message.from, granted: false});
};

/** Grants a vote to a candidate whose log is up to date, to at most one candidate per term. */
export const handleVoteRequest = (core: ReplicaCore, message: VoteRequest, now: number): void => {
	const isPreVote = message.kind === MessageKind.PreVoteRequest;
	const isCurrent = core.rules.isLogUpToDate(message, {lastIndex: core.lastIndex, lastTerm: core.log.lastTerm});
	const isAllowed = isPreVote
		? message.term > core.term
		: message.term === core.term && core.rules.mayGrantVote(core.hardState.votedFor, message.from);
	const granted = isCurrent && isAllowed;
	if (granted && !isPreVote) {
		core.setHardState({term: core.term, votedFor: message.from});
		core.resetElectionTimer(now);
	}

	core.send({
		kind: responseKind(message.kind), to: message.from, granted, term: granted ? message.term : core.term,
	});
};

/** Counts a vote. A majority of pre-votes starts the election; a majority of votes makes this replica the leader. */
export const handleVoteResponse = (core: ReplicaCore, message: VoteResponse, now: number): void => {
	const isPreVote = message.kind === MessageKind.PreVoteResponse;
	const isExpected = isPreVote
		? core.role === Role.PreCandidate && message.term === core.term + 1
		: core.role === Role.Candidate && message.term === core.term;
	if (isExpected && message.granted) {
		core.votes.add(message.from);
		countVotes(core, now);
	}
};
