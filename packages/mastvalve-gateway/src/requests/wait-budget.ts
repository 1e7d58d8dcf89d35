/**
 * How long a request can wait for an endpoint, and what is said when there is none.
 */

import type {GatewayCore} from '../server/gateway-core.js';
import type {CallerRequest} from './caller-request.js';

/** An expected load or permit may come later by this, since callers wait for the first event behind it, ms. */
export const forecastMarginMs = 300;

/** Why a request can't be sent anywhere, and when to ask again. */
export type NoEndpoint = {reason: string; retryAfterMs: number};

/** Shortest time after which a refused caller comes again, ms. */
const minRetryAfterMs = 50;

/** Endpoints that could take it restrict what they take, and none of them does in time. */
export const createCapacityRefusal = (waitMs: number): NoEndpoint =>
	({reason: 'the endpoints that could take it are at their limits or have asked for backoff', retryAfterMs: Math.max(minRetryAfterMs, waitMs)});

/** When the caller gives up if nothing came; monotonic ms. */
export const computeWaitDeadline = ({arrivedAt, deadlineAt, route}: CallerRequest): number => Math.min(deadlineAt, arrivedAt + (route.patienceMs ?? Number.POSITIVE_INFINITY));

/** How long a request can still wait, ms. */
export const computeRemainingWaitMs = ({clock}: GatewayCore, request: CallerRequest): number => computeWaitDeadline(request) - forecastMarginMs - clock.now();
