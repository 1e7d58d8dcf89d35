/**
 * Decides from the answers of the seeds which replicated log an instance joins or creates.
 *
 * If any instance that answers belongs to a log, this one joins it. A new log is created only at the first start of the
 * system, when all seeds have answered, by the seeds that may begin: their identities are durable. A seed that was killed
 * before it had written its identity, or that has lost its disk, may not begin; it joins later.
 *
 * The log is created in two steps. Each founder first records the founders, once and for good. A founder creates the log
 * when every other one has recorded the same founders, or has lost its disk since (its address answers under another
 * identity). So whoever may have created a log with this instance as a founder has its record of the same founders, and
 * two logs are never created, whichever processes are killed and whichever disks are lost meanwhile.
 *
 * When no seed has a replica, the seeds name the only founder (`founder-naming.ts`). All that may name one must name it, both
 * before it records itself and, asked again, before it creates the log.
 */

import {getInstanceName, type ReplicaId} from 'mastvalve-replication';
import {hashCanonically} from 'mastvalve-utils';
import type {Identity} from './identity.js';

/** The log to join or create; without `clusterId`, the founders to record before it may be created. */
export type Formation = {clusterId: string | undefined; initialVoters: ReplicaId[]};

const clusterIdLength = 16;

/** Returns the replicas that create the log, or undefined while they can't be determined. */
const listFounders = (seeds: readonly Identity[]): ReplicaId[] | undefined => {
	const seedsWithLog = seeds.filter(({replicaId}) => replicaId !== undefined);
	if (seedsWithLog.length === 0) {
		const founders = [...new Set(seeds.flatMap(({founder}) => founder ?? []))];
		const isUndecided = seeds.some(({founder, mayBegin}) => founder === undefined && mayBegin);
		return founders.length === 1 && !isUndecided ? founders : undefined;
	}

	return seedsWithLog.flatMap(({replicaId, mayBegin}) => (replicaId !== undefined && mayBegin ? [replicaId] : [])).toSorted();
};

const isSame = (founders: readonly ReplicaId[], others: readonly ReplicaId[]): boolean =>
	founders.length === others.length && founders.every((founder, index) => founder === others[index]);

/** Returns the founders by the present answers, or undefined unless all seeds have answered. */
const findFounders = (own: Identity, seeds: readonly string[], answers: readonly Identity[]): ReplicaId[] | undefined => {
	const identities = seeds.toSorted().map(seed => [own, ...answers].find(({address}) => address === seed));
	return identities.includes(undefined) ? undefined : listFounders(identities.filter(identity => identity !== undefined));
};

/** Returns the founders that this instance records, or undefined if it isn't one or the seeds must be asked again. */
const chooseFounders = (own: Identity, seeds: readonly string[], answers: readonly Identity[]): ReplicaId[] | undefined => {
	const {replicaId} = own;
	if (replicaId === undefined || !own.mayBegin) {
		return undefined;
	}

	const recorded = answers.find(({initialVoters}) => initialVoters.includes(replicaId));
	const founders = recorded?.initialVoters ?? findFounders(own, seeds, answers);
	return founders?.includes(replicaId) ? founders : undefined;
};

/** Whether the founder has recorded the same founders, or has lost its disk. */
const isSettled = (founder: ReplicaId, founders: readonly ReplicaId[], answers: readonly Identity[]): boolean => {
	const answer = answers.find(({address}) => address === getInstanceName(founder));
	return answer !== undefined && (answer.replicaId !== founder || isSame(answer.initialVoters, founders));
};

/** Whether the founders that this instance has recorded may create the log. */
const isAgreed = (own: Identity, seeds: readonly string[], answers: readonly Identity[]): boolean => {
	const founders = own.initialVoters;
	return seeds.includes(own.address)
		? founders.every(founder => founder === own.replicaId || isSettled(founder, founders, answers))
		: isSame(findFounders(own, seeds, answers) ?? [], founders);
};

/** Returns the log of this instance, or undefined if the peers must be asked again. `answers` come from the other instances. */
export const decideFormation = (own: Identity, seeds: readonly string[], answers: readonly Identity[]): Formation | undefined => {
	const formed = answers.find(answer => answer.clusterId !== undefined);
	if (formed?.clusterId !== undefined) {
		return {clusterId: formed.clusterId, initialVoters: formed.initialVoters};
	}

	const founders = own.initialVoters;
	if (founders.length === 0) {
		const chosen = chooseFounders(own, seeds, answers);
		return chosen && {clusterId: undefined, initialVoters: chosen};
	}

	return isAgreed(own, seeds, answers) ? {clusterId: hashCanonically(founders).slice(0, clusterIdLength), initialVoters: founders} : undefined;
};
