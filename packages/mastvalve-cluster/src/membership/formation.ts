/**
 * How an instance that has only seeds finds the replicated log that it belongs to.
 *
 * If any instance that answers belongs to a log, this one joins that. A new log is begun only at the very first start,
 * when all seeds have answered. Seeds that keep the log begin it together: their identities are durable, so all of them
 * begin with the same voters, and a disk that was lost later can never begin a second log beside the first. When no seed
 * keeps the log, the first of them by address names the one instance that begins it.
 */

import type {ReplicaId} from 'mastvalve-replication';
import {hashCanonically} from 'mastvalve-utils';
import type {Identity} from './identity.js';

/** The log to take part in. */
export type Formation = {clusterId: string; initialVoters: ReplicaId[]};

const clusterIdLength = 16;

/** Who begins the log; undefined while that can't be told. */
const listFounders = (seeds: readonly Identity[]): ReplicaId[] | undefined => {
	const keepers = seeds.filter(({replicaId}) => replicaId !== undefined);
	if (keepers.length === 0) {
		const founder = seeds[0]?.founder;
		return founder === undefined ? undefined : [founder];
	}

	return keepers.every(({mayBegin}) => mayBegin) ? keepers.flatMap(({replicaId}) => replicaId ?? []).toSorted() : undefined;
};

/** Decides; undefined means to ask again. `answers` are those of the others. */
export const decideFormation = (own: Identity, seeds: readonly string[], answers: readonly Identity[]): Formation | undefined => {
	const formed = answers.find(answer => answer.clusterId !== undefined);
	if (formed?.clusterId !== undefined) {
		return {clusterId: formed.clusterId, initialVoters: formed.initialVoters};
	}

	const known = seeds.toSorted().map(seed => [own, ...answers].find(({address}) => address === seed));
	const founders = known.includes(undefined) ? undefined : listFounders(known.filter(identity => identity !== undefined));
	if (!founders || !own.mayBegin || own.replicaId === undefined || !founders.includes(own.replicaId)) {
		return undefined;
	}

	return {clusterId: hashCanonically(founders).slice(0, clusterIdLength), initialVoters: founders};
};
