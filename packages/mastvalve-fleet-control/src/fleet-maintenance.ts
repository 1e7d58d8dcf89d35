/**
 * Periodic tasks of a control instance: the leader marks silent endpoints, forgets old ones, ends quarantines and records
 * limits; other instances forward the heartbeats that they receive to the leader.
 */

import type {ControlGroup} from 'mastvalve-cluster';
import {
	FleetCommandKind, quarantineMs, type FleetCommand, type FleetMachine,
} from 'mastvalve-fleet';
import type {MastvalveError} from 'mastvalve-types';
import type {Clock} from 'mastvalve-utils';
import type {Result} from 'neverthrow';
import type {Liveness, LivenessTimes} from './liveness.js';
import {QuarantineExpiry} from './quarantine-expiry.js';

export type FleetMaintenanceOptions = {
	group: ControlGroup;
	machine: FleetMachine;
	/** Times of heartbeats received by this instance or forwarded to it. */
	liveness: Liveness;
	clock: Clock;
	/** Time between two heartbeats of an endpoint, ms. */
	heartbeatMs: number;
	propose: (command: FleetCommand) => Promise<Result<unknown, MastvalveError>>;
	publishLimits: () => Promise<void>;
	onEvent: (kind: string, detail: string) => void;
};

/** Heartbeats that an endpoint may miss before others are preferred; heartbeats are occasionally late by seconds. */
const missedHeartbeats = 4;
const forgetGoneAfterMs = 120_000;
const forgetSilentAfterMs = 90_000;

export class FleetMaintenance {
	private readonly quarantineExpiry = new QuarantineExpiry();
	private readonly times: LivenessTimes;
	private wasLeading = false;

	constructor(private readonly options: FleetMaintenanceOptions) {
		this.times = {silentAfterMs: missedHeartbeats * options.heartbeatMs, forgetGoneAfterMs, forgetSilentAfterMs};
	}

	/** Runs each task once. */
	async runRound(): Promise<void> {
		const {group, liveness, publishLimits} = this.options;
		if (!group.isLeading) {
			this.wasLeading = false;
			await this.forwardHeartbeats();
			return;
		}

		if (!this.wasLeading) {
			this.wasLeading = true;
			liveness.reset();
			this.quarantineExpiry.reset();
		}

		await publishLimits();
		await this.markSilent();
		await this.releaseExpiredQuarantines();
		await this.forgetExpired();
	}

	private async markSilent(): Promise<void> {
		const {machine, liveness, clock, propose, onEvent} = this.options;
		const ids = liveness.listSilent(machine.list(), clock.now(), this.times);
		if (ids.length > 0) {
			await propose({kind: FleetCommandKind.MarkSilent, ids});
			onEvent('endpoint.silent', `no heartbeat for ${this.times.silentAfterMs} ms: ${ids.join(', ')}`);
		}
	}

	private async releaseExpiredQuarantines(): Promise<void> {
		const {machine, clock, propose, onEvent} = this.options;
		const fingerprints = this.quarantineExpiry.listExpired(machine.listQuarantined(), clock.now());
		if (fingerprints.length > 0) {
			await propose({kind: FleetCommandKind.ReleaseQuarantine, fingerprints});
			onEvent('quarantine.ended', `after ${quarantineMs} ms: ${fingerprints.join(', ')}`);
		}
	}

	private async forgetExpired(): Promise<void> {
		const {machine, liveness, clock, propose} = this.options;
		const ids = liveness.listForgettable(machine.list(), clock.now(), this.times);
		if (ids.length > 0) {
			await propose({kind: FleetCommandKind.Forget, ids});
		}
	}

	/** Forwards the ids of endpoints whose heartbeats this instance has received to the leader. */
	private async forwardHeartbeats(): Promise<void> {
		const ids = this.options.liveness.takeUnforwarded();
		if (ids.length > 0) {
			await this.options.group.callLeader('/heard', ids);
		}
	}
}
