/**
 * Computes how long a request may wait for an endpoint, and the refusal when there is none.
 */

import type {GatewayCore} from '../server/gateway-core.js';
import type {CallerRequest} from './caller-request.js';

/** Margin on the expected time of a load or permit, ms, since the caller's deadline applies to the first event after it. */
export const forecastMarginMs = 300;

/** Why no endpoint accepts a request, and the delay before a retry. */
export type NoEndpoint = {reason: string; retryAfterMs: number};

/** Minimum Retry-After, ms. */
const minRetryAfterMs = 50;

/** Creates the refusal for a request whose endpoints are all limited or in backoff past its deadline. */
export const createCapacityRefusal = (waitMs: number): NoEndpoint =>
	({reason: 'the endpoints that could take it are at their limits or have asked for backoff', retryAfterMs: Math.max(minRetryAfterMs, waitMs)});

/** When the caller gives up if the answer has not begun, monotonic ms. */
export const computeWaitDeadline = ({arrivedAt, deadlineAt, route}: CallerRequest): number => Math.min(deadlineAt, arrivedAt + (route.patienceMs ?? Number.POSITIVE_INFINITY));

/** Time for which a request may still wait, ms. */
export const computeRemainingWaitMs = ({clock}: GatewayCore, request: CallerRequest): number => computeWaitDeadline(request) - forecastMarginMs - clock.now();

/** Bounds the delay before a retry: the caller needs time for the retry itself. */
export const clampRetryAfterMs = ({clock}: GatewayCore, {callerDeadlineAt}: CallerRequest, ms: number): number =>
	Math.max(minRetryAfterMs, Math.min(ms, (callerDeadlineAt - clock.now()) / 3));
