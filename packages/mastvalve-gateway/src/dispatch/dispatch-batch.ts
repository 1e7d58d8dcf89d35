/**
 * Body of a call of an entry to the leader.
 */

import {
	ageClaim, type DispatchClaim, type DispatchDecision, type RunEvent, type RunSnapshot,
} from 'mastvalve-dispatch';
import type {DispatchRequest} from 'mastvalve-fleet-control';
import type {DispatchRun} from './dispatch-run.js';

/** An event with the time at which it happened, monotonic, ms. */
export type TimedEvent = Omit<RunEvent, 'ageMs'> & {at: number};

/** A claim that is not decided yet. */
export type PendingClaim = {
	claim: DispatchClaim;
	claimedAt: number;
	resolve: (decision: DispatchDecision | undefined) => void;
	onQueued: () => void;
};

export type DispatchBatch = {
	claims: readonly PendingClaim[];
	events: readonly TimedEvent[];
	/** Runs to report. */
	running: readonly DispatchRun[];
	/** Whether `running` has all runs in progress. */
	isWhole: boolean;
};

const describeRun = ({claim, endpoint, startedAt, hasBegun}: DispatchRun, now: number): RunSnapshot => ({
	claim: ageClaim(claim, now - startedAt), endpoint, ageMs: Math.round(now - startedAt), hasBegun,
});

/** Returns the body of a call that is sent now; its times are relative to the call. */
export const formatBatch = (entry: string, {claims, events, running, isWhole}: DispatchBatch, now: number): DispatchRequest => ({
	entry,
	claims: claims.map(({claim, claimedAt}) => ageClaim(claim, now - claimedAt)),
	events: events.map(({at, ...event}) => ({...event, ageMs: Math.round(now - at)})),
	running: running.map(run => describeRun(run, now)),
	isWhole,
});
