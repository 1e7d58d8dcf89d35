/**
 * A caller's request after its body was read and its route found.
 */

import type {IncomingHttpHeaders} from 'node:http';
import {RouteKind, type Route} from 'mastvalve-fleet';
import type {Admission} from '../access/admit-caller.js';
import type {CallerHeaders} from '../dialect.js';

export type CallerRequest = {
	requestId: string;
	/** Equal for all requests with the same content, regardless of their ids. */
	fingerprint: string;
	/** Fingerprints of the parts of its prompt that other requests may share. */
	partFingerprints: readonly string[];
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
	/** When its first bytes arrived, monotonic ms. */
	arrivedAt: number;
	/** The earlier of the caller's deadline and the route's, monotonic ms. */
	deadlineAt: number;
	/** The caller's own deadline, monotonic ms. */
	callerDeadlineAt: number;
	/** Aborts when the caller disconnects or the deadline passes. */
	signal: AbortSignal;
};

/** Whether the request may be sent again when its outcome is unknown. */
export const isRepeatable = ({kind, isResumable}: Route): boolean =>
	kind === RouteKind.Safe || (kind === RouteKind.Stream && isResumable);
