/**
 * What a process offers to those below it in the configuration tree. Control and entries offer the same, so a sidecar
 * can follow either.
 */

import type {
	ConfigurationUpdate, Endpoint, EndpointReport, MastvalveError,
} from 'mastvalve-types';
import type {Result} from 'neverthrow';
import {trustedInput} from './input.js';
import {createRouter, procedure} from './trpc.js';
import {answerWire} from './wire-result.js';

/** Asks for what came after a revision, waiting up to `waitMs` for it. */
export type FollowRequest = {revision: number; waitMs: number};

/** A sidecar's request to join, resent with the same `processId` until it is answered. */
export type JoinRequest = Omit<Endpoint, 'incarnation' | 'state'>;

/** Demand that an entry has seen: requests by model since its last report. */
export type DemandReport = {entry: string; seconds: number; requests: Record<string, number>};

/** The handlers behind the router. */
export type UpstreamHandlers = {
	/** What came after a revision; without changes when nothing did in time. */
	follow: (request: FollowRequest) => Promise<Result<ConfigurationUpdate, MastvalveError>>;
	/** The newest committed revision, read linearizably. */
	readLatest: () => Promise<Result<number, MastvalveError>>;
	join: (request: JoinRequest) => Promise<Result<Endpoint, MastvalveError>>;
	report: (reports: EndpointReport[]) => Promise<Result<true, MastvalveError>>;
	reportDemand: (report: DemandReport) => Promise<Result<true, MastvalveError>>;
};

/** Makes the router. */

export const createUpstreamRouter = (handlers: UpstreamHandlers) =>
	createRouter({
		follow: procedure.input(trustedInput<FollowRequest>()).query(async ({input}) => answerWire(async () => handlers.follow(input))),
		readLatest: procedure.query(async () => answerWire(handlers.readLatest)),
		join: procedure.input(trustedInput<JoinRequest>()).mutation(async ({input}) => answerWire(async () => handlers.join(input))),
		report: procedure.input(trustedInput<EndpointReport[]>()).mutation(async ({input}) => answerWire(async () => handlers.report(input))),
		reportDemand: procedure.input(trustedInput<DemandReport>()).mutation(async ({input}) => answerWire(async () => handlers.reportDemand(input))),
	});

/** Type of the router, for clients. */
export type UpstreamRouter = ReturnType<typeof createUpstreamRouter>;
