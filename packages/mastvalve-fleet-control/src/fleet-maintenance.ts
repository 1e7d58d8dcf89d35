/**
 * What a control instance does again and again: the leader notes endpoints that are silent or forgotten, ends quarantines and records limits;
 * the others tell it whom they have heard.
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

/** What they are carried out with. */
export type FleetMaintenanceOptions = {
	group: ControlGroup;
	machine: FleetMachine;
	/** Who was heard when, by this instance and by those that told it. */
	liveness: Liveness;
	clock: Clock;
	/** Time between two heartbeats of an endpoint, ms. */
	heartbeatMs: number;
	propose: (command: FleetCommand) => Promise<Result<unknown, MastvalveError>>;
	publishLimits: () => Promise<void>;
	onEvent: (kind: string, detail: string) => void;
};

/** Heartbeats that an endpoint may miss before others are preferred; they come late by seconds at times. */
const missedHeartbeats = 4;
const forgetGoneAfterMs = 120_000;
const forgetSilentAfterMs = 90_000;

/** The duties. */
export class FleetMaintenance {
	private readonly quarantineClock = new QuarantineExpiry();
	private readonly times: LivenessTimes;
	private wasLeading = false;

	constructor(private readonly options: FleetMaintenanceOptions) {
		this.times = {silentAfterMs: missedHeartbeats * options.heartbeatMs, forgetGoneAfterMs, forgetSilentAfterMs};
	}

	/** One round. */
	async runRound(): Promise<void> {
		const {group, liveness, publishLimits} = this.options;
		if (!group.isLeading) {
			this.wasLeading = false;
			await this.passHeard();
			return;
		}

		if (!this.wasLeading) {
			this.wasLeading = true;
			liveness.reset();
			this.quarantineClock.reset();
		}

		await publishLimits();
		await this.markSilent();
		await this.endQuarantines();
		await this.forget();
	}

	private async markSilent(): Promise<void> {
		const {machine, liveness, clock, propose, onEvent} = this.options;
		const ids = liveness.listSilent(machine.list(), clock.now(), this.times);
		if (ids.length > 0) {
			await propose({kind: FleetCommandKind.MarkSilent, ids});
			onEvent('endpoint.silent', `no heartbeat for ${this.times.silentAfterMs} ms: ${ids.join(', ')}`);
		}
	}

	private async endQuarantines(): Promise<void> {
		const {machine, clock, propose, onEvent} = this.options;
		const fingerprints = this.quarantineClock.listExpired(machine.listQuarantined(), clock.now());
		if (fingerprints.length > 0) {
			await propose({kind: FleetCommandKind.ReleaseQuarantine, fingerprints});
			onEvent('quarantine.ended', `after ${quarantineMs} ms: ${fingerprints.join(', ')}`);
		}
	}

	private async forget(): Promise<void> {
		const {machine, liveness, clock, propose} = this.options;
		const ids = liveness.listForgettable(machine.list(), clock.now(), this.times);
		if (ids.length > 0) {
			await propose({kind: FleetCommandKind.Forget, ids});
		}
	}

	/** The leader hears from the others whom they have heard. */
	private async passHeard(): Promise<void> {
		const ids = this.options.liveness.takeUnforwarded();
		if (ids.length > 0) {
			await this.options.group.callLeader('/heard', ids);
		}
	}
}
