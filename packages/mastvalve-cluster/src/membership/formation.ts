/**
 * Decides from the answers of the seeds which replicated log an instance joins or creates.
 *
 * If any instance that answers belongs to a log, this one joins it. A new log is created only at the first start of the
 * system, when all seeds have answered. Seeds with a replica create it together: their identities are durable, so all
 * of them start with the same voters, and an instance that loses its disk later can't create a second log. When no seed
 * has a replica, the first seed by address names the only instance that creates it.
 */

import type {ReplicaId} from 'mastvalve-replication';
import {hashCanonically} from 'mastvalve-utils';
import type {Identity} from './identity.js';

/** The log to join or create. */
export type Formation = {clusterId: string; initialVoters: ReplicaId[]};

const clusterIdLength = 16;

/** Returns the replicas that create the log, or undefined while they can't be determined. */
const listFounders = (seeds: readonly Identity[]): ReplicaId[] | undefined => {
	const seedsWithLog = seeds.filter(({replicaId}) => replicaId !== undefined);
	if (seedsWithLog.length === 0) {
		const founder = seeds[0]?.founder;
		return founder === undefined ? undefined : [founder];
	}

	return seedsWithLog.every(({mayBegin}) => mayBegin) ? seedsWithLog.flatMap(({replicaId}) => replicaId ?? []).toSorted() : undefined;
};

/** Returns the log of this instance, or undefined if the peers must be asked again. `answers` come from the other instances. */
export const decideFormation = (own: Identity, seeds: readonly string[], answers: readonly Identity[]): Formation | undefined => {
	const formed = answers.find(answer => answer.clusterId !== undefined);
	if (formed?.clusterId !== undefined) {
		return {clusterId: formed.clusterId, initialVoters: formed.initialVoters};
	}

	const seedIdentities = seeds.toSorted().map(seed => [own, ...answers].find(({address}) => address === seed));
	const founders = seedIdentities.includes(undefined) ? undefined : listFounders(seedIdentities.filter(identity => identity !== undefined));
	if (!founders || !own.mayBegin || own.replicaId === undefined || !founders.includes(own.replicaId)) {
		return undefined;
	}

	return {clusterId: hashCanonically(founders).slice(0, clusterIdLength), initialVoters: founders};
};
