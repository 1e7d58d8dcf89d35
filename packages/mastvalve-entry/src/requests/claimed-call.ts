/**
 * A call that must not be repeated: claim the key in the replicated log, dispatch once, record how it ended.
 */

import {ClaimDecisionKind, type ClaimDecision} from 'mastvalve-claims';
import type {ControlClient} from 'mastvalve-control';
import {
	ClaimStatus, MastvalveError, Outcome, RefusedError, UnknownOutcomeError, type StoredResponse,
} from 'mastvalve-types';
import {waitFor} from 'mastvalve-utils';
import {err, ok, type Result} from 'neverthrow';

/** The key of a call and what it stands for. */
export type ClaimedCall = {
	key: string;
	digest: string;
	attempt: string;
	issuedAt: number;
	/** Time left, ms. */
	deadlineMs: number;
	/** Wall clock, ms since the epoch. */
	wall: number;
};

/** An answer, and whether it is one that was kept from the first time. */
export type ClaimedAnswer = {answer: StoredResponse; isReplay: boolean};

/** Control may need this long at most to grant a claim, ms. */
const maxClaimMs = 3000;
/** Time for recording the end before the caller gets the answer anyway, ms. */
const recordMs = 1000;
/** A claim without an outcome counts as unknown this long after the deadline, ms. */
const expiryGraceMs = 10_000;
/** Largest answer that is kept for repeats, in base64 characters. */
const maxKeptLength = 87_400;

/** Runs a call under its claim. `dispatch` hands it to an endpoint under the claim's token. */
export const runClaimedCall = async (
	call: ClaimedCall,
	control: ControlClient,
	dispatch: (token: number) => Promise<Result<StoredResponse, MastvalveError>>,
): Promise<Result<ClaimedAnswer, MastvalveError>> => {
	const {key, digest, attempt, issuedAt, deadlineMs, wall} = call;
	const begun = await control.beginClaim({
		key, digest, attempt, issuedAt, expiresAt: wall + deadlineMs + expiryGraceMs,
	}, Math.min(maxClaimMs, deadlineMs));
	if (begun.isErr()) {
		// It may have been recorded all the same; nothing was dispatched, so the key is given back.
		void control.finishClaim({key, attempt, status: ClaimStatus.NotRun});
		return err(new RefusedError(`The call was not run, since its key could not be claimed: ${begun.error.message}`, 1, 'claim-unavailable'));
	}

	return begun.value.kind === ClaimDecisionKind.Granted
		? dispatchGranted(call, begun.value.token, control, dispatch)
		: answerRepeat(begun.value);
};

const dispatchGranted = async (
	{key, attempt}: ClaimedCall,
	token: number,
	control: ControlClient,
	dispatch: (token: number) => Promise<Result<StoredResponse, MastvalveError>>,
): Promise<Result<ClaimedAnswer, MastvalveError>> => {
	const result = await dispatch(token);
	const failure = result.isErr() && result.error.outcome === Outcome.NotRun ? ClaimStatus.NotRun : ClaimStatus.Unknown;
	const status = result.isOk() ? ClaimStatus.Done : failure;
	const answer = result.isOk() && result.value.body.length <= maxKeptLength ? result.value : undefined;
	const recorded = control.finishClaim({
		key, attempt, status, ...(answer ? {answer} : {}),
	});
	await Promise.race([recorded, waitFor(recordMs)]);
	return result.map(value => ({answer: value, isReplay: false}));
};

const lostAnswerAdvice = 'The call with this key may have run; its answer was lost. It is not run again. '
	+ 'Look at the service for its effect before using a new key.';

/** What a repeat is told. */
const answerRepeat = (decision: Exclude<ClaimDecision, {kind: ClaimDecisionKind.Granted}>): Result<ClaimedAnswer, MastvalveError> => {
	switch (decision.kind) {
		case ClaimDecisionKind.Done: {
			return decision.answer
				? ok({answer: decision.answer, isReplay: true})
				: err(new MastvalveError('answer-not-kept', 'The call ran before, and its answer was too large to be kept. It is not run again.', {status: 409, outcome: Outcome.Done}));
		}

		case ClaimDecisionKind.Running: {
			return err(new MastvalveError('still-running', 'The call with this key is still running. Ask again for its answer.', {status: 409, outcome: Outcome.Unknown, retryAfterSeconds: 1}));
		}

		case ClaimDecisionKind.Unknown: {
			return err(new UnknownOutcomeError(lostAnswerAdvice, {status: 409}));
		}

		case ClaimDecisionKind.Mismatch: {
			return err(new MastvalveError('key-reused', 'This key was used for another request. Nothing was run. Use a new key for a new request.', {status: 422}));
		}

		case ClaimDecisionKind.TooOld: {
			return err(new MastvalveError('key-too-old', 'This key was issued before the time for which keys are kept, so it can\'t be told whether it ran then. Nothing was run now.', {status: 422}));
		}

		case ClaimDecisionKind.TooNew: {
			return err(new MastvalveError('key-from-future', 'This key claims to be issued in the future. Nothing was run. Check the clock of the caller.', {status: 422}));
		}

		case ClaimDecisionKind.Full: {
			return err(new RefusedError('No more keys can be kept now. Nothing was run.', 60, 'claims-full'));
		}
	}
};
