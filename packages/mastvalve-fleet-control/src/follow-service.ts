/**
 * Sends each following entry the changes that it lacks, and only while this instance may hold the newest state.
 */

import type {ControlGroup} from 'mastvalve-cluster';
import type {FleetMachine} from 'mastvalve-fleet';
import {ControlUnavailableError, type MastvalveError} from 'mastvalve-types';
import {waitFor, type Clock} from 'mastvalve-utils';
import {err, ok, type Result} from 'neverthrow';
import type {FollowResponse, FollowRequest} from './follow.js';
import type {FreshnessTracker} from './freshness-tracker.js';

export type FollowServiceOptions = {
	machine: FleetMachine;
	group: ControlGroup;
	clock: Clock;
	freshness: FreshnessTracker;
	/** Aborts when the instance stops. */
	shutdownSignal: AbortSignal;
};

/** Longest wait for a change, ms; well below the time within which a follower must detect that this instance is disconnected. */
const maxFollowWaitMs = 500;
/** Time within which a follower of the leader receives its next message: 1.5 heartbeats, ms. */
const leaderContactMs = 165;
/** Interval at which a request that waits for a leader checks for one, ms. */
const leaderPollMs = 15;

export class FollowService {
	private readonly waiters = new Set<() => void>();

	constructor(private readonly options: FollowServiceOptions) {}

	/** Responds to a follower: immediately if it lacks changes, otherwise at the next change or after the wait. */
	async follow({place, waitMs, mustBeNewest}: FollowRequest, signal: AbortSignal): Promise<Result<FollowResponse, MastvalveError>> {
		const receivedAt = this.options.clock.now();
		const fresh = mustBeNewest ? await this.waitUntilFreshWithRetry(Math.min(waitMs, maxFollowWaitMs), signal) : ok(true);
		if (fresh.isErr()) {
			return err(fresh.error);
		}

		if (mustBeNewest) {
			this.options.freshness.recordConfirmed(receivedAt);
		}

		if (!this.options.machine.hasChangesSince(place) && !this.options.machine.isBehind(place)) {
			await this.waitForChange(Math.min(waitMs, maxFollowWaitMs), signal);
		}

		await this.waitUntilCurrent(signal);
		if (!this.options.group.isCurrent || this.options.shutdownSignal.aborted) {
			return err(new ControlUnavailableError(`This control instance may not know the newest state: ${this.options.group.describeFreshness()}.`));
		}

		return this.options.machine.isBehind(place)
			? err(new ControlUnavailableError('This control instance knows less than the follower that asks.'))
			: ok(this.createAnswer(place, receivedAt));
	}

	/** Wakes the waiting requests after a change. */
	wake(): void {
		[...this.waiters].forEach(wake => {
			wake();
		});
	}

	private createAnswer(place: FollowRequest['place'], receivedAt: number): FollowResponse {
		const {machine, group, freshness} = this.options;
		const confirmedAt = freshness.read();
		return {
			update: machine.changesSince(place), members: group.memberAddresses, leader: group.leaderAddress, sureAfterMs: confirmedAt === undefined ? undefined : confirmedAt - receivedAt,
		};
	}

	/** Waits for a leader that can confirm the newest state: repeated requests would delay a starting entry more than the wait. */
	private async waitUntilFreshWithRetry(ms: number, signal: AbortSignal): Promise<Result<unknown, MastvalveError>> {
		const endAt = this.options.clock.now() + ms;
		let fresh: Result<unknown, MastvalveError> = await this.options.group.waitUntilFresh();
		while (fresh.isErr() && this.options.clock.now() < endAt && !signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			await waitFor(leaderPollMs, signal);
			// eslint-disable-next-line no-await-in-loop
			fresh = await this.options.group.waitUntilFresh();
		}

		return fresh;
	}

	/** Waits until the instance is current again: after a clock jump the leader's next message arrives within a heartbeat, and rejecting the followers would cost more. */
	private async waitUntilCurrent(signal: AbortSignal): Promise<void> {
		const endAt = this.options.clock.now() + leaderContactMs;
		while (!this.options.group.isCurrent && this.options.clock.now() < endAt && !signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			await waitFor(leaderPollMs, signal);
		}
	}

	private async waitForChange(ms: number, signal: AbortSignal): Promise<void> {
		await new Promise<void>(resolve => {
			const done = () => {
				clearTimeout(timer);
				this.waiters.delete(done);
				resolve();
			};

			const timer = setTimeout(done, ms);
			this.waiters.add(done);
			signal.addEventListener('abort', done, {once: true});
		});
	}
}
