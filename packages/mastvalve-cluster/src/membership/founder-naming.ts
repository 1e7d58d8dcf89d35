/**
 * Decides which founder an instance without a log names, for the case that no seed has a replica.
 *
 * A seed names one founder in its lifetime, and none after a restart: its memory is all it has. The first seed by address
 * names an instance that asked it to join, and the others repeat that. A seed that has restarted leaves it to the next one.
 * The founder creates the log only while all seeds that may name one name it (`formation.ts`).
 */

import type {ReplicaId} from 'mastvalve-replication';
import type {Identity} from './identity.js';

/** Returns the founder to name, or undefined while none is known. `candidate` is the first instance that asked this one to join and may begin. */
export const nameFounder = (own: Identity, seeds: readonly string[], answers: readonly Identity[], candidate: ReplicaId | undefined): ReplicaId | undefined => {
	if (!own.mayBegin) {
		return undefined;
	}

	const others = seeds.toSorted().filter(seed => seed !== own.address).map(address => ({address, answer: answers.find(answer => answer.address === address)}));
	const named = others.flatMap(({answer}) => answer?.founder ?? [])[0];
	const isNext = others.filter(({address}) => address < own.address).every(({answer}) => answer?.mayBegin === false);
	return named ?? (isNext ? candidate : undefined);
};
