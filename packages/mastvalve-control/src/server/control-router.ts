/**
 * The whole router of a control instance.
 */

import {createRouter, createUpstreamRouter, type UpstreamHandlers} from 'mastvalve-http';
import {createOperatorRouter, type OperatorHandlers} from './operator-router.js';
import {createReplicationRouter, type ReplicationHandlers} from './replication-router.js';

/** Makes the router; the upstream procedures stand at the top, as on entries. */

export const createControlRouter = (upstream: UpstreamHandlers, operator: OperatorHandlers, replication: ReplicationHandlers) =>
	createRouter({
		...createUpstreamRouter(upstream)._def.procedures,
		operator: createOperatorRouter(operator),
		replication: createReplicationRouter(replication),
	});

/** Type of the router, for clients. */
export type ControlRouter = ReturnType<typeof createControlRouter>;
