/**
 * How a control instance with an empty data folder finds the replicated log that it belongs to.
 *
 * If any peer belongs to a log already, the instance joins that as a learner. Only if every peer answers and none
 * belongs to one do they begin a new log, with the identities that all have made durable. So a lost disk can never
 * begin a second log beside the first, whoever else is out of reach.
 */

import {hashCanonically} from 'mastvalve-utils';
import type {ReplicaId} from 'mastvalve-replication';
import type {IdentifyAnswer} from './replication-router.js';

/** What to do next. */
export type FormationStep
	= | {kind: FormationKind.Wait}
		| {kind: FormationKind.Begin | FormationKind.Join; clusterId: string; initialVoters: ReplicaId[]};

/** Kinds of steps. */
export enum FormationKind {
	Wait = 'wait',
	Begin = 'begin',
	Join = 'join',
}

/** Decides from the answers of all peers; undefined stands for one that did not answer. */
export const decideFormation = (own: ReplicaId, answers: ReadonlyArray<IdentifyAnswer | undefined>): FormationStep => {
	const formed = answers.find(answer => answer?.clusterId !== undefined);
	if (formed?.clusterId !== undefined) {
		// A peer that began with our identity counts on us as a voter from the start.
		return {kind: FormationKind.Join, clusterId: formed.clusterId, initialVoters: formed.initialVoters};
	}

	const identities = answers.map(answer => answer?.replicaId);
	if (identities.includes(undefined)) {
		return {kind: FormationKind.Wait};
	}

	const initialVoters = [own, ...identities.filter(id => id !== undefined)].toSorted();
	return {kind: FormationKind.Begin, clusterId: hashCanonically(initialVoters).slice(0, 16), initialVoters};
};
