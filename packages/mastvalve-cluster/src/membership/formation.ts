/**
 * How an instance that has only seeds finds the replicated log that it belongs to.
 *
 * If any instance that answers belongs to a log, this one joins that. A new log is begun only by the seeds of the
 * very first start, and only once all of them have made their identities durable and know each other: so they begin
 * with the same voters, and a disk that was lost later can never begin a second log beside the first.
 */

import {nameOfReplica, type ReplicaId} from 'mastvalve-replication';
import {hashCanonically} from 'mastvalve-utils';

/** What an instance says of itself. */
export type Identity = {
	replicaId: ReplicaId;
	clusterId: string | undefined;
	initialVoters: ReplicaId[];
	mayBegin: boolean;
	/** Members of the log, as far as it knows them. */
	members: ReplicaId[];
};

/** The log to take part in. */
export type Formation = {clusterId: string; initialVoters: ReplicaId[]};

const clusterIdLength = 16;

/** Decides; undefined means to ask again. `answers` are those of the others. */
export const decideFormation = (own: Identity, seeds: readonly string[], answers: readonly Identity[]): Formation | undefined => {
	const formed = answers.find(answer => answer.clusterId !== undefined);
	if (formed?.clusterId !== undefined) {
		return {clusterId: formed.clusterId, initialVoters: formed.initialVoters};
	}

	const beginners = [own, ...answers].filter(identity => identity.mayBegin);
	const voters = seeds.map(seed => beginners.find(identity => nameOfReplica(identity.replicaId) === seed)?.replicaId);
	const isSeed = seeds.includes(nameOfReplica(own.replicaId));
	if (!isSeed || voters.includes(undefined)) {
		return undefined;
	}

	const initialVoters = voters.filter(id => id !== undefined).toSorted();
	return {clusterId: hashCanonically(initialVoters).slice(0, clusterIdLength), initialVoters};
};
