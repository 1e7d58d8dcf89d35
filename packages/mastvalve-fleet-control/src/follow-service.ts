/**
 * Answers the entries that follow a control instance: with what is new to each of them, and only while the instance may know the newest.
 */

import type {ControlGroup} from 'mastvalve-cluster';
import type {FleetMachine} from 'mastvalve-fleet';
import {ControlUnavailableError, type MastvalveError} from 'mastvalve-types';
import {waitFor, type Clock} from 'mastvalve-utils';
import {err, ok, type Result} from 'neverthrow';
import type {FollowResponse, FollowRequest} from './follow.js';
import type {FreshnessTracker} from './freshness-tracker.js';

/** What it is made from. */
export type FollowServiceOptions = {
	machine: FleetMachine;
	group: ControlGroup;
	clock: Clock;
	sure: FreshnessTracker;
	/** Aborts when the instance ends. */
	ending: AbortSignal;
};

/** Longest wait for a change, ms: well below the time in which a follower must notice that this instance is cut off. */
const maxFollowWaitMs = 500;
/** Time in which an instance that follows a leader hears of it again: a heartbeat and a half, ms. */
const rehearMs = 165;
/** How often a question that waits for a leader looks for one, ms. */
const leaderPollMs = 15;

/** The service. */
export class FollowService {
	private readonly waiting = new Set<() => void>();

	constructor(private readonly options: FollowServiceOptions) {}

	/** Answers a follower: at once when there is something new, else when something changes. */
	async follow({place, waitMs, mustBeNewest}: FollowRequest, signal: AbortSignal): Promise<Result<FollowResponse, MastvalveError>> {
		const cameAt = this.options.clock.now();
		const fresh = mustBeNewest ? await this.readFreshSoon(Math.min(waitMs, maxFollowWaitMs), signal) : ok(true);
		if (fresh.isErr()) {
			return err(fresh.error);
		}

		if (mustBeNewest) {
			this.options.sure.recordConfirmed(cameAt);
		}

		if (!this.options.machine.hasChangesSince(place) && !this.options.machine.isBehind(place)) {
			await this.waitForChange(Math.min(waitMs, maxFollowWaitMs), signal);
		}

		await this.waitUntilCurrent(signal);
		if (!this.options.group.isCurrent || this.options.ending.aborted) {
			return err(new ControlUnavailableError(`This control instance may not know the newest state: ${this.options.group.describeAge()}.`));
		}

		return this.options.machine.isBehind(place)
			? err(new ControlUnavailableError('This control instance knows less than the follower that asks.'))
			: ok(this.createAnswer(place, cameAt));
	}

	/** Something has changed. */
	wake(): void {
		[...this.waiting].forEach(wake => {
			wake();
		});
	}

	private createAnswer(place: FollowRequest['place'], cameAt: number): FollowResponse {
		const {machine, group, sure} = this.options;
		const sureAt = sure.read();
		return {
			update: machine.changesSince(place), members: group.members, leader: group.leaderAddress, sureAfterMs: sureAt === undefined ? undefined : sureAt - cameAt,
		};
	}

	/** Without a leader that is sure of the newest, the question waits for one: asking again and again would cost a starting entry more than the wait. */
	private async readFreshSoon(ms: number, signal: AbortSignal): Promise<Result<unknown, MastvalveError>> {
		const endAt = this.options.clock.now() + ms;
		let fresh: Result<unknown, MastvalveError> = await this.options.group.readFresh();
		while (fresh.isErr() && this.options.clock.now() < endAt && !signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			await waitFor(leaderPollMs, signal);
			// eslint-disable-next-line no-await-in-loop
			fresh = await this.options.group.readFresh();
		}

		return fresh;
	}

	/** An instance whose clocks have jumped hears its leader again within a heartbeat; sending its followers away would cost more. */
	private async waitUntilCurrent(signal: AbortSignal): Promise<void> {
		const endAt = this.options.clock.now() + rehearMs;
		while (!this.options.group.isCurrent && this.options.clock.now() < endAt && !signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			await waitFor(leaderPollMs, signal);
		}
	}

	private async waitForChange(ms: number, signal: AbortSignal): Promise<void> {
		await new Promise<void>(resolve => {
			const done = () => {
				clearTimeout(timer);
				this.waiting.delete(done);
				resolve();
			};

			const timer = setTimeout(done, ms);
			this.waiting.add(done);
			signal.addEventListener('abort', done, {once: true});
		});
	}
}
