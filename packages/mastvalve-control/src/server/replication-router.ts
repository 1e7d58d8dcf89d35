/**
 * What control instances offer each other.
 */

import {createRouter, procedure, trustedInput} from 'mastvalve-http';
import type {Message, ReplicaId} from 'mastvalve-replication';

/** Who a control instance is, as far as it knows. */
export type IdentifyAnswer = {
	replicaId: ReplicaId;
	/** Set once it belongs to a replicated log. */
	clusterId?: string;
	initialVoters: ReplicaId[];
};

/** The handlers behind the router. */
export type ReplicationHandlers = {
	identify: () => IdentifyAnswer;
	/** Messages of the replicated log, in the order in which they were sent. */
	deliver: (messages: Message[]) => void;
	/** A replica that isn't in the membership asks to be taken in. */
	announce: (id: ReplicaId) => void;
};

/** Makes the router. */

export const createReplicationRouter = (handlers: ReplicationHandlers) =>
	createRouter({
		identify: procedure.query(() => handlers.identify()),
		deliver: procedure.input(trustedInput<Message[]>()).mutation(({input}) => {
			handlers.deliver(input);
			return true;
		}),
		announce: procedure.input(trustedInput<{id: ReplicaId}>()).mutation(({input}) => {
			handlers.announce(input.id);
			return true;
		}),
	});
