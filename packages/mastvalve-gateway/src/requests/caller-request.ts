/**
 * A caller's request once it was read whole and has a route.
 */

import type {IncomingHttpHeaders} from 'node:http';
import {RouteKind, type Route} from 'mastvalve-fleet';
import type {Admission} from '../access/admit-caller.js';
import type {CallerHeaders} from '../dialect.js';

/** Everything that serving needs. */
export type CallerRequest = {
	requestId: string;
	/** The same for all requests with this content, whatever their identities. */
	fingerprint: string;
	route: Route;
	service: string;
	caller: CallerHeaders;
	admission: Admission;
	method: string;
	/** Path and query. */
	path: string;
	headers: IncomingHttpHeaders;
	rawHeaders: string[];
	body: Uint8Array;
	/** Monotonic ms at which its first bytes were here. */
	arrivedAt: number;
	/** Monotonic ms; the earlier of the caller's deadline and the route's. */
	deadlineAt: number;
	/** Monotonic ms; the caller's own deadline. */
	callerDeadlineAt: number;
	/** Aborts when the caller leaves or the deadline has passed. */
	signal: AbortSignal;
};

/** Whether the request may run again when its fate is unknown. */
export const isRepeatable = ({kind, isResumable}: Route): boolean =>
	kind === RouteKind.Safe || (kind === RouteKind.Stream && isResumable);
