/**
 * How urgent a request is, from its workspace and its route.
 */

import type {Workspace} from 'mastvalve-access';
import type {GatewayCore} from '../server/gateway-core.js';
import type {CallerRequest} from './caller-request.js';

/** The urgency that engines are told; 0 is the most urgent. The workspace may have changed since the request was let in. */
export const rankRequest = ({view}: GatewayCore, {route, admission}: CallerRequest, workspace: Workspace | undefined = admission.workspace): number =>
	view.configuration?.rankPriority(workspace?.priority, route.priority) ?? route.priority;
