/**
 * Computes the urgency of a request from its workspace and route.
 */

import type {Workspace} from 'mastvalve-access';
import type {GatewayCore} from '../server/gateway-core.js';
import type {CallerRequest} from './caller-request.js';

/** Returns the urgency that is sent to engines; 0 is the most urgent. The workspace may have changed since admission. */
export const rankRequest = ({view}: GatewayCore, {route, admission}: CallerRequest, workspace: Workspace | undefined = admission.workspace): number =>
	view.configuration?.rankPriority(workspace?.priority, route.priority) ?? route.priority;
