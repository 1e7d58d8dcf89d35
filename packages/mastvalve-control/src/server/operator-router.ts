/**
 * What control offers to operators and to entries that claim keys.
 */

import type {ClaimCompletion, ClaimDecision, ClaimRequest} from 'mastvalve-claims';
import {
	answerWire, createRouter, procedure, trustedInput,
} from 'mastvalve-http';
import type {Plan} from 'mastvalve-intents';
import type {Intent, MastvalveError} from 'mastvalve-types';
import type {Result} from 'neverthrow';
import type {ControlStatus} from './control-status.js';

/** An operator's request; the same id gets the first answer again. */
export type OperatorRequest<T> = T & {requestId: string};

/** What a confirmation answers. */
export type Confirmation = {version: number; revision: number; planId: string};

/** The handlers behind the router. */
export type OperatorHandlers = {
	stateIntent: (request: OperatorRequest<{intent: Intent}>) => Promise<Result<Plan, MastvalveError>>;
	showPlan: (request: {planId: string}) => Promise<Result<Plan, MastvalveError>>;
	confirmPlan: (request: OperatorRequest<{planId: string}>) => Promise<Result<Confirmation, MastvalveError>>;
	drainEndpoint: (request: OperatorRequest<{endpointId: string}>) => Promise<Result<true, MastvalveError>>;
	readStatus: () => Promise<Result<ControlStatus, MastvalveError>>;
	beginClaim: (request: ClaimRequest) => Promise<Result<ClaimDecision, MastvalveError>>;
	finishClaim: (request: ClaimCompletion) => Promise<Result<boolean, MastvalveError>>;
};

/** Makes the router. */

export const createOperatorRouter = (handlers: OperatorHandlers) =>
	createRouter({
		stateIntent: procedure.input(trustedInput<OperatorRequest<{intent: Intent}>>()).mutation(async ({input}) => answerWire(async () => handlers.stateIntent(input))),
		showPlan: procedure.input(trustedInput<{planId: string}>()).query(async ({input}) => answerWire(async () => handlers.showPlan(input))),
		confirmPlan: procedure.input(trustedInput<OperatorRequest<{planId: string}>>()).mutation(async ({input}) => answerWire(async () => handlers.confirmPlan(input))),
		drainEndpoint: procedure.input(trustedInput<OperatorRequest<{endpointId: string}>>()).mutation(async ({input}) => answerWire(async () => handlers.drainEndpoint(input))),
		readStatus: procedure.query(async () => answerWire(handlers.readStatus)),
		beginClaim: procedure.input(trustedInput<ClaimRequest>()).mutation(async ({input}) => answerWire(async () => handlers.beginClaim(input))),
		finishClaim: procedure.input(trustedInput<ClaimCompletion>()).mutation(async ({input}) => answerWire(async () => handlers.finishClaim(input))),
	});
